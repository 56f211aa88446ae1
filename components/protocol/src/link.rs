//! Connections to agents and entries.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::{AgentEnvelope, AgentInfo, JobKey, JobSpec, OwnerEnvelope, ProcessKey};
use monoio::net::TcpStream;
use runtime::Stop;
use tarpc::client::{Config, NewClient, RpcError};
use tarpc::context::{self, Context};

use crate::codec::{MAX_CALL_MS, client_transport};
use crate::error::{LinkError, LinkFault};
use crate::hello::{self, Hello, Reply, Service, VERSION};
use crate::message::{
    AnnounceReply, CancelReply, EntryPing, EntryPong, HandOver, HandOverReply, StatusReply,
    SubmitReply,
};
use crate::service::{AgentServiceClient, EntryServiceClient};

const MAX_CALLS_IN_FLIGHT: usize = 65_536;
const PENDING_CALL_BUFFER: usize = 1_024;

/// A connection to an agent.
pub type AgentLink = Link<AgentServiceClient>;

/// A connection to an entry.
pub type EntryLink = Link<EntryServiceClient>;

/// A connection to another process; it closes when the last clone is dropped.
#[derive(Clone)]
pub struct Link<C> {
    client: C,
    peer: ProcessKey,
    closed: Stop,
}

impl AgentLink {
    /// Connects to the agent at `address`, an `ip:port`, which must be the incarnation
    /// `expected` if one is given.
    ///
    /// # Errors
    ///
    /// Fails if the agent cannot be reached before `deadline_us` on the monotonic clock,
    /// or refuses the connection.
    pub async fn connect(
        address: &str,
        own: ProcessKey,
        expected: Option<ProcessKey>,
        deadline_us: u64,
    ) -> Result<Self, LinkError> {
        let hello = hello_for(Service::Agent, own, expected);
        let (stream, peer) = open(address, hello, deadline_us).await?;
        let client = AgentServiceClient::new(config(), client_transport(stream));
        Ok(Self::start(client, peer))
    }

    /// Sends messages of an owner and returns the agent's immediate answers.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn exchange(
        &self,
        envelope: OwnerEnvelope,
        deadline_us: u64,
    ) -> Result<AgentEnvelope, LinkError> {
        let call = |context| self.client.exchange(context, envelope);
        self.call(deadline_us, call).await
    }
}

impl EntryLink {
    /// Connects to the entry at `address`, an `ip:port`, which must be the incarnation
    /// `expected` if one is given.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached before `deadline_us` on the monotonic clock,
    /// or refuses the connection.
    pub async fn connect(
        address: &str,
        own: ProcessKey,
        expected: Option<ProcessKey>,
        deadline_us: u64,
    ) -> Result<Self, LinkError> {
        let hello = hello_for(Service::Entry, own, expected);
        let (stream, peer) = open(address, hello, deadline_us).await?;
        let client = EntryServiceClient::new(config(), client_transport(stream));
        Ok(Self::start(client, peer))
    }

    /// Announces an agent that knows the configuration up to a revision.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn announce(
        &self,
        agent: AgentInfo,
        known_config_revision: u64,
        deadline_us: u64,
    ) -> Result<AnnounceReply, LinkError> {
        let call = |context| self.client.announce(context, agent, known_config_revision);
        self.call(deadline_us, call).await
    }

    /// Sends messages of an agent and returns the entry's immediate answers.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn exchange(
        &self,
        envelope: AgentEnvelope,
        deadline_us: u64,
    ) -> Result<OwnerEnvelope, LinkError> {
        let call = |context| self.client.exchange(context, envelope);
        self.call(deadline_us, call).await
    }

    /// Forwards a submission that has waited for `waited_ms` and waits for the job's answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn submit(
        &self,
        job: JobSpec,
        waited_ms: u64,
        deadline_us: u64,
    ) -> Result<SubmitReply, LinkError> {
        let call = |context| self.client.submit(context, job, waited_ms);
        self.call(deadline_us, call).await
    }

    /// Asks for the state of a job.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn status(&self, job: JobKey, deadline_us: u64) -> Result<StatusReply, LinkError> {
        let call = |context| self.client.status(context, job);
        self.call(deadline_us, call).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn cancel(&self, job: JobKey, deadline_us: u64) -> Result<CancelReply, LinkError> {
        let call = |context| self.client.cancel(context, job);
        self.call(deadline_us, call).await
    }

    /// Exchanges what the two entries know of each other.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn ping(&self, ping: EntryPing, deadline_us: u64) -> Result<EntryPong, LinkError> {
        let call = |context| self.client.ping(context, ping);
        self.call(deadline_us, call).await
    }

    /// Offers a shard to its next owner.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn hand_over(
        &self,
        hand_over: HandOver,
        deadline_us: u64,
    ) -> Result<HandOverReply, LinkError> {
        let call = |context| self.client.hand_over(context, hand_over);
        self.call(deadline_us, call).await
    }
}

impl<C> Link<C> {
    /// Returns the incarnation of the peer.
    #[must_use]
    pub fn peer(&self) -> ProcessKey {
        self.peer
    }

    /// Tells whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.is_stopped()
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        self.closed.stopped().await;
    }

    fn start<D, E>(client: NewClient<C, D>, peer: ProcessKey) -> Self
    where
        D: Future<Output = Result<(), E>> + 'static,
    {
        let NewClient { client, dispatch } = client;
        let closed = Stop::new();
        let ended = closed.clone();
        monoio::spawn(async move {
            // Calls under way report the error; here only the end counts.
            let _ = dispatch.await;
            ended.stop();
        });
        Self {
            client,
            peer,
            closed,
        }
    }

    async fn call<T, F>(
        &self,
        deadline_us: u64,
        call: impl FnOnce(Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        if self.is_closed() {
            return Err(LinkError::NotSent(LinkFault::Closed));
        }
        let Some(time_left) = time_left(deadline_us) else {
            return Err(LinkError::NotSent(LinkFault::DeadlinePassed));
        };
        let mut context = context::current();
        context.deadline = Instant::now() + time_left;
        // The timer of `tarpc` does not cover calls that wait to be written.
        match monoio::time::timeout(time_left, call(context)).await {
            Ok(result) => result.map_err(LinkError::from_rpc),
            Err(_) => Err(LinkError::Unknown(LinkFault::DeadlinePassed)),
        }
    }
}

fn time_left(deadline_us: u64) -> Option<Duration> {
    let left_us = deadline_us.checked_sub(runtime::monotonic_us())?;
    let left_us = left_us.min(MAX_CALL_MS * 1_000);
    (left_us > 0).then(|| Duration::from_micros(left_us))
}

fn hello_for(service: Service, own: ProcessKey, expected: Option<ProcessKey>) -> Hello {
    Hello {
        version: VERSION,
        service: service.number(),
        from: own,
        expected,
    }
}

fn config() -> Config {
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
    config.pending_request_buffer = PENDING_CALL_BUFFER;
    config
}

async fn open(
    address: &str,
    hello: Hello,
    deadline_us: u64,
) -> Result<(TcpStream, ProcessKey), LinkError> {
    let Ok(address) = address.parse() else {
        return Err(LinkError::NotSent(LinkFault::BadAddress));
    };
    let Some(time_left) = time_left(deadline_us) else {
        return Err(LinkError::NotSent(LinkFault::DeadlinePassed));
    };
    match monoio::time::timeout(time_left, greet(address, hello)).await {
        Ok(result) => result.map_err(LinkError::NotSent),
        Err(_) => Err(LinkError::NotSent(LinkFault::DeadlinePassed)),
    }
}

async fn greet(address: SocketAddr, hello: Hello) -> Result<(TcpStream, ProcessKey), LinkFault> {
    let (stream, reply) = match exchange_hello(address, hello).await {
        Ok(greeted) => greeted,
        Err(error) => return Err(LinkFault::Connect(error.to_string())),
    };
    let reply = reply.ok_or(LinkFault::NotProtocol)?;
    let key = reply.accepted().map_err(LinkFault::Refused)?;
    Ok((stream, key))
}

async fn exchange_hello(
    address: SocketAddr,
    hello: Hello,
) -> io::Result<(TcpStream, Option<Reply>)> {
    let mut stream = TcpStream::connect_addr(address).await?;
    stream.set_nodelay(true)?;
    hello::write_hello(&mut stream, &hello).await?;
    let reply = hello::read_reply(&mut stream).await?;
    Ok((stream, reply))
}
