//! Handlers of the calls that an entry or an agent receives.

use std::future::Future;
use std::rc::Rc;

use derive_more::{Display, Error};
use futures::future::LocalBoxFuture;
use model::{AgentEnvelope, AgentInfo, JobKey, JobSpec, OwnerEnvelope};
use tarpc::context::Context;

use crate::message::{
    AnnounceReply, CancelReply, EntryPing, EntryPong, HandOverReply, HandoverOffer, StatusReply,
    SubmitReply,
};
use crate::service::{AgentService, EntryService};

type Handler<In, Out> = Rc<dyn Fn(In) -> Out>;
type AsyncHandler<In, Out> = Rc<dyn Fn(In) -> LocalBoxFuture<'static, Out>>;

/// Handlers of the calls that an entry receives.
#[derive(Clone)]
pub struct EntryHandlers {
    announce: Handler<(AgentInfo, u64), AnnounceReply>,
    exchange: Handler<AgentEnvelope, OwnerEnvelope>,
    submit: AsyncHandler<(JobSpec, u64), SubmitReply>,
    status: AsyncHandler<JobKey, StatusReply>,
    cancel: AsyncHandler<JobKey, CancelReply>,
    ping: Handler<EntryPing, EntryPong>,
    hand_over: AsyncHandler<HandoverOffer, HandOverReply>,
}

impl EntryHandlers {
    /// Returns a builder without any handler.
    #[must_use]
    pub fn builder() -> EntryHandlersBuilder {
        EntryHandlersBuilder::default()
    }
}

/// Error of building [`EntryHandlers`] without one of the handlers.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("no handler for {name}")]
pub struct MissingHandler {
    /// Name of the call.
    #[error(not(source))]
    pub name: &'static str,
}

/// Builds [`EntryHandlers`].
#[derive(Default)]
pub struct EntryHandlersBuilder {
    announce: Option<Handler<(AgentInfo, u64), AnnounceReply>>,
    exchange: Option<Handler<AgentEnvelope, OwnerEnvelope>>,
    submit: Option<AsyncHandler<(JobSpec, u64), SubmitReply>>,
    status: Option<AsyncHandler<JobKey, StatusReply>>,
    cancel: Option<AsyncHandler<JobKey, CancelReply>>,
    ping: Option<Handler<EntryPing, EntryPong>>,
    hand_over: Option<AsyncHandler<HandoverOffer, HandOverReply>>,
}

impl EntryHandlersBuilder {
    /// Sets the handler of announcements; it gets the agent and the configuration revision that
    /// the agent has.
    #[must_use]
    pub fn announce(mut self, handler: impl Fn(AgentInfo, u64) -> AnnounceReply + 'static) -> Self {
        self.announce = Some(Rc::new(move |(agent, revision)| handler(agent, revision)));
        self
    }

    /// Sets the handler of messages from agents.
    #[must_use]
    pub fn exchange(mut self, handler: impl Fn(AgentEnvelope) -> OwnerEnvelope + 'static) -> Self {
        self.exchange = Some(Rc::new(handler));
        self
    }

    /// Sets the handler of forwarded submissions; it gets the job and the time since its arrival
    /// at the forwarding entry, in milliseconds.
    ///
    /// The future is dropped when the caller cancels the call or its connection breaks.
    #[must_use]
    pub fn submit<F>(mut self, handler: impl Fn(JobSpec, u64) -> F + 'static) -> Self
    where
        F: Future<Output = SubmitReply> + 'static,
    {
        self.submit = Some(Rc::new(move |(job, waited_ms)| {
            Box::pin(handler(job, waited_ms))
        }));
        self
    }

    /// Sets the handler of queries for the state of a job.
    #[must_use]
    pub fn status<F>(mut self, handler: impl Fn(JobKey) -> F + 'static) -> Self
    where
        F: Future<Output = StatusReply> + 'static,
    {
        self.status = Some(boxed_handler(handler));
        self
    }

    /// Sets the handler of cancellations.
    #[must_use]
    pub fn cancel<F>(mut self, handler: impl Fn(JobKey) -> F + 'static) -> Self
    where
        F: Future<Output = CancelReply> + 'static,
    {
        self.cancel = Some(boxed_handler(handler));
        self
    }

    /// Sets the handler of pings from other entries.
    #[must_use]
    pub fn ping(mut self, handler: impl Fn(EntryPing) -> EntryPong + 'static) -> Self {
        self.ping = Some(Rc::new(handler));
        self
    }

    /// Sets the handler of offers to take over a shard.
    #[must_use]
    pub fn hand_over<F>(mut self, handler: impl Fn(HandoverOffer) -> F + 'static) -> Self
    where
        F: Future<Output = HandOverReply> + 'static,
    {
        self.hand_over = Some(boxed_handler(handler));
        self
    }

    /// Returns the handlers.
    ///
    /// # Errors
    ///
    /// Fails if a handler was not set.
    pub fn build(self) -> Result<EntryHandlers, MissingHandler> {
        Ok(EntryHandlers {
            announce: self.announce.ok_or(MissingHandler { name: "announce" })?,
            exchange: self.exchange.ok_or(MissingHandler { name: "exchange" })?,
            submit: self.submit.ok_or(MissingHandler { name: "submit" })?,
            status: self.status.ok_or(MissingHandler { name: "status" })?,
            cancel: self.cancel.ok_or(MissingHandler { name: "cancel" })?,
            ping: self.ping.ok_or(MissingHandler { name: "ping" })?,
            hand_over: self.hand_over.ok_or(MissingHandler { name: "hand_over" })?,
        })
    }
}

fn boxed_handler<In, F>(handler: impl Fn(In) -> F + 'static) -> AsyncHandler<In, F::Output>
where
    F: Future + 'static,
{
    Rc::new(move |input| Box::pin(handler(input)))
}

/// Handler of the calls that an agent receives.
#[derive(Clone)]
pub(crate) struct AgentHandlers {
    pub(crate) exchange: Handler<OwnerEnvelope, AgentEnvelope>,
}

impl AgentService for AgentHandlers {
    async fn exchange(self, _: Context, envelope: OwnerEnvelope) -> AgentEnvelope {
        (self.exchange)(envelope)
    }
}

impl EntryService for EntryHandlers {
    async fn announce(self, _: Context, agent: AgentInfo, revision: u64) -> AnnounceReply {
        (self.announce)((agent, revision))
    }

    async fn exchange(self, _: Context, envelope: AgentEnvelope) -> OwnerEnvelope {
        (self.exchange)(envelope)
    }

    async fn submit(self, _: Context, job: JobSpec, waited_ms: u64) -> SubmitReply {
        (self.submit)((job, waited_ms)).await
    }

    async fn status(self, _: Context, job: JobKey) -> StatusReply {
        (self.status)(job).await
    }

    async fn cancel(self, _: Context, job: JobKey) -> CancelReply {
        (self.cancel)(job).await
    }

    async fn ping(self, _: Context, ping: EntryPing) -> EntryPong {
        (self.ping)(ping)
    }

    async fn hand_over(self, _: Context, hand_over: HandoverOffer) -> HandOverReply {
        (self.hand_over)(hand_over).await
    }
}
