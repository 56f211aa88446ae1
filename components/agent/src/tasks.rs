//! Task calls to the target, and messages to entries.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use execution::{AgentAction, CallKey, CallOutcome};
use futures::future::{AbortHandle, abortable};
use model::{AgentEnvelope, FirmKey, OwnerEnvelope, TargetInfo};
use protocol::TeamInfo;
use runtime::{monotonic_us, unix_ms};
use targets::{Announcement, Invocation, InvokeOutcome, Invoker};

use crate::process::Shared;

/// Timeout of an exchange of messages with an entry, in microseconds.
///
/// The agent state machine resends unacknowledged messages.
const EXCHANGE_TIMEOUT_US: u64 = 2_000_000;

/// Maximum size of a task's result, in bytes.
///
/// Must fit into a protocol frame, since the outcome could not be delivered otherwise.
const MAX_RESULT_BYTES: usize = protocol::MAX_FRAME_BYTES / 4;

/// Client for the announced target; tracks the calls in flight.
#[derive(Default)]
pub struct TargetClient {
    target: Option<AnnouncedTarget>,
    teams: Vec<TeamInfo>,
    abort_handles: HashMap<CallKey, AbortHandle>,
}

struct AnnouncedTarget {
    announcement: Announcement,
    expires_us: u64,
    invoker: Invoker,
}

impl TargetClient {
    /// Sets the announced target.
    ///
    /// Keeps the connections if the address and the connection limit are unchanged.
    pub fn set_announcement(&mut self, announcement: Announcement, expires_us: u64) {
        if let Some(target) = &mut self.target
            && target.announcement.address == announcement.address
            && target.announcement.connections == announcement.connections
        {
            target.announcement = announcement;
            target.expires_us = expires_us;
            return;
        }
        let connections = usize::from(announcement.connections);
        let client = web::Client::new(announcement.address, connections)
            .with_max_body_bytes(MAX_RESULT_BYTES);
        let invoker = Invoker::with_client(client);
        self.target = Some(AnnouncedTarget {
            announcement,
            expires_us,
            invoker,
        });
    }

    /// Removes the target; calls in flight continue.
    pub fn remove_target(&mut self) {
        self.target = None;
    }

    /// Returns the time at which the announcement expires, on the monotonic clock.
    pub fn expires_us(&self) -> Option<u64> {
        self.target.as_ref().map(|target| target.expires_us)
    }

    /// Returns the name of the target.
    pub fn target_name(&self) -> Option<&str> {
        self.target
            .as_ref()
            .map(|target| target.announcement.name.as_str())
    }

    /// Sets the teams of the firms that the target serves; returns whether they changed.
    pub fn set_teams(&mut self, teams: Vec<TeamInfo>) -> bool {
        let is_changed = self.teams != teams;
        self.teams = teams;
        is_changed
    }

    /// Returns the announced target, with the teams of its firms added to the firms.
    pub fn target_info(&self) -> Option<TargetInfo> {
        let target = self.target.as_ref()?;
        let mut info = target.announcement.target_info();
        let teams = self.teams.iter();
        let served = teams.filter(|team| info.firms.contains(&team.firm));
        let served: Vec<FirmKey> = served.map(|team| team.team).collect();
        info.firms.extend(served);
        Some(info)
    }

    /// Returns the invoker of the target and the name of `firm`, a firm or team that it serves.
    fn invoker(&self, firm: FirmKey) -> Option<(Invoker, String)> {
        let target = self.target.as_ref()?;
        let firms = target.announcement.firms.iter();
        let teams = self.teams.iter().map(|team| &team.name);
        let name = firms
            .chain(teams)
            .find(|name| FirmKey::from_name(name) == firm)?;
        Some((target.invoker.clone(), name.clone()))
    }
}

impl Shared {
    /// Executes actions of the agent state machine.
    pub fn perform(self: &Rc<Self>, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Send(envelope) => {
                    self.enqueue(envelope);
                }
                AgentAction::Abort { call } => {
                    if let Some(handle) =
                        self.target_client.borrow_mut().abort_handles.remove(&call)
                    {
                        handle.abort();
                    }
                }
                AgentAction::Invoke {
                    call,
                    task,
                    attempt,
                    job_id,
                    firm,
                    payload,
                    timeout_us,
                    ..
                } => {
                    let invocation = Invocation {
                        firm: String::new(),
                        job_id,
                        index: task.index,
                        attempt,
                        payload,
                        timeout: Duration::from_micros(timeout_us),
                    };
                    self.invoke(call, firm, invocation);
                }
            }
        }
    }

    fn invoke(self: &Rc<Self>, call: CallKey, firm: FirmKey, mut invocation: Invocation) {
        let Some((invoker, name)) = self.target_client.borrow().invoker(firm) else {
            let outcome = CallOutcome::NotStarted("the target is gone".to_owned());
            monoio::spawn(Rc::clone(self).finish_call(call, outcome));
            return;
        };
        invocation.firm = name;
        let (future, handle) = abortable(async move { invoker.invoke(&invocation).await });
        self.target_client
            .borrow_mut()
            .abort_handles
            .insert(call, handle);
        let shared = Rc::clone(self);
        monoio::spawn(async move {
            let outcome = match future.await {
                Ok(outcome) => call_outcome(outcome),
                Err(_) => CallOutcome::Unknown("stopped at the owner's request".to_owned()),
            };
            shared.finish_call(call, outcome).await;
        });
    }

    /// Passes the announced target and its teams to the agent state machine.
    pub fn refresh_target(self: &Rc<Self>) {
        let info = self.target_client.borrow().target_info();
        let expires_us = self.target_client.borrow().expires_us();
        let (Some(info), Some(expires_us)) = (info, expires_us) else {
            return;
        };
        let mut actions = Vec::new();
        self.agent
            .borrow_mut()
            .target_announced(monotonic_us(), info, expires_us, &mut actions);
        self.perform(actions);
    }

    async fn finish_call(self: Rc<Self>, call: CallKey, outcome: CallOutcome) {
        self.target_client.borrow_mut().abort_handles.remove(&call);
        let mut actions = Vec::new();
        self.agent
            .borrow_mut()
            .call_ended(monotonic_us(), call, outcome, &mut actions);
        self.perform(actions);
    }

    /// Sends an envelope to an entry and handles its reply.
    pub async fn send(self: Rc<Self>, envelope: AgentEnvelope) {
        let Some(address) = self.directory.borrow().address(envelope.to) else {
            log::debug!("Entry {} has no known address.", envelope.to);
            return;
        };
        let expected = Some(envelope.to);
        let link = match self.entries.link(&address, expected).await {
            Ok(link) => link,
            Err(error) => {
                log::debug!("Entry {address} cannot be reached: {error}.");
                return;
            }
        };
        match link
            .exchange(envelope, monotonic_us() + EXCHANGE_TIMEOUT_US)
            .await
        {
            Ok(answer) => self.handle_reply(answer),
            Err(error) => {
                log::debug!("Entry {address} did not answer: {error}.");
                self.entries.remove(&address);
            }
        }
    }

    fn handle_reply(self: &Rc<Self>, answer: OwnerEnvelope) {
        if answer.messages.is_empty() {
            return;
        }
        let mut actions = Vec::new();
        self.agent
            .borrow_mut()
            .handle(monotonic_us(), unix_ms(), answer, &mut actions);
        self.perform(actions);
    }
}

fn call_outcome(outcome: InvokeOutcome) -> CallOutcome {
    match outcome {
        InvokeOutcome::Done(result) => CallOutcome::Done(result),
        InvokeOutcome::Failed(detail) => CallOutcome::Failed(detail),
        InvokeOutcome::NotStarted(detail) => CallOutcome::NotStarted(detail),
        InvokeOutcome::Unknown(detail) => CallOutcome::Unknown(detail),
    }
}
