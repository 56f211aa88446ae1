//! Connections to agents and entries.

use std::time::Instant;

use model::{AgentEnvelope, AgentInfo, JobKey, JobSpec, OwnerEnvelope, ProcessKey};
use monoio::net::TcpStream;
use runtime::Stop;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::RequestName;
use tarpc::client::{Channel, Config, NewClient};
use tarpc::context;

use crate::codec::client_transport;
use crate::connect::{hello_for, open, time_left};
use crate::error::{LinkError, LinkFault};
use crate::hello::Service;
use crate::message::{
    AnnounceReply, CancelReply, EntryPing, EntryPong, HandOver, HandOverReply, StatusReply,
    SubmitReply,
};
use crate::service::{
    AgentServiceRequest, AgentServiceResponse, EntryServiceRequest, EntryServiceResponse,
};

const MAX_CALLS_IN_FLIGHT: usize = 65_536;
const PENDING_CALL_BUFFER: usize = 1_024;

/// A connection to an agent.
pub type AgentLink = Link<AgentServiceRequest, AgentServiceResponse>;

/// A connection to an entry.
pub type EntryLink = Link<EntryServiceRequest, EntryServiceResponse>;

/// A connection to another process; it closes when the last clone is dropped.
pub struct Link<Req, Resp> {
    channel: Channel<Req, Resp>,
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
        Ok(Self::start(stream, peer))
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
        let request = AgentServiceRequest::Exchange { envelope };
        match self.call(request, deadline_us).await? {
            AgentServiceResponse::Exchange(reply) => Ok(reply),
        }
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
        Ok(Self::start(stream, peer))
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
        let request = EntryServiceRequest::Announce {
            agent,
            known_config_revision,
        };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Announce(reply) => Ok(reply),
            _ => Err(crossed_answer()),
        }
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
        let request = EntryServiceRequest::Exchange { envelope };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Exchange(reply) => Ok(reply),
            _ => Err(crossed_answer()),
        }
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
        let request = EntryServiceRequest::Submit { job, waited_ms };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Submit(reply) => Ok(reply),
            _ => Err(crossed_answer()),
        }
    }

    /// Asks for the state of a job.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn status(&self, job: JobKey, deadline_us: u64) -> Result<StatusReply, LinkError> {
        let request = EntryServiceRequest::Status { job };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Status(reply) => Ok(reply),
            _ => Err(crossed_answer()),
        }
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn cancel(&self, job: JobKey, deadline_us: u64) -> Result<CancelReply, LinkError> {
        let request = EntryServiceRequest::Cancel { job };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Cancel(reply) => Ok(reply),
            _ => Err(crossed_answer()),
        }
    }

    /// Exchanges what the two entries know of each other.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn ping(&self, ping: EntryPing, deadline_us: u64) -> Result<EntryPong, LinkError> {
        let request = EntryServiceRequest::Ping { ping };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Ping(reply) => Ok(reply),
            _ => Err(crossed_answer()),
        }
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
        let request = EntryServiceRequest::HandOver { hand_over };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::HandOver(reply) => Ok(reply),
            _ => Err(crossed_answer()),
        }
    }
}

impl<Req, Resp> Link<Req, Resp> {
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
}

impl<Req, Resp> Link<Req, Resp>
where
    Req: RequestName + Serialize + 'static,
    Resp: DeserializeOwned + 'static,
{
    fn start(stream: TcpStream, peer: ProcessKey) -> Self {
        let transport = client_transport(stream);
        let NewClient { client, dispatch } = tarpc::client::new(config(), transport);
        let closed = Stop::new();
        let ended = closed.clone();
        monoio::spawn(async move {
            // Calls under way report the error; here only the end counts.
            let _ = dispatch.await;
            ended.stop();
        });
        Self {
            channel: client,
            peer,
            closed,
        }
    }

    async fn call(&self, request: Req, deadline_us: u64) -> Result<Resp, LinkError> {
        if self.is_closed() {
            return Err(LinkError::NotSent(LinkFault::Closed));
        }
        let Some(time_left) = time_left(deadline_us) else {
            return Err(LinkError::NotSent(LinkFault::DeadlinePassed));
        };
        let mut context = context::current();
        context.deadline = Instant::now() + time_left;
        // The timer of `tarpc` does not cover calls that wait to be written.
        match monoio::time::timeout(time_left, self.channel.call(context, request)).await {
            Ok(result) => result.map_err(LinkError::from_rpc),
            Err(_) => Err(LinkError::Unknown(LinkFault::DeadlinePassed)),
        }
    }
}

impl<Req, Resp> Clone for Link<Req, Resp> {
    fn clone(&self) -> Self {
        Self {
            channel: self.channel.clone(),
            peer: self.peer,
            closed: self.closed.clone(),
        }
    }
}

fn crossed_answer() -> LinkError {
    LinkError::Unknown(LinkFault::CrossedAnswer)
}

fn config() -> Config {
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
    config.pending_request_buffer = PENDING_CALL_BUFFER;
    config
}
