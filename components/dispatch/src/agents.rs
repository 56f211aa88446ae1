//! An entry's view of agents: health, load and queued messages.

use model::{
    AgentInfo, FirmKey, GroupKey, HEARTBEAT_INTERVAL_MS, Heartbeat, Load, OwnerEnvelope,
    OwnerMessage, Permit, ProcessKey, ShardHeartbeat, ShardKey, TaskKey,
};
use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};

use crate::action::Action;
use crate::health::Health;

/// Silence after which an agent is considered gone and its tasks fail, in microseconds.
///
/// Longer than garbage collection in a target or a short network cut delays answers.
pub const AGENT_GONE_US: u64 = 10_000_000;

/// Silence after which an agent is considered gone if its host refuses connections, in
/// microseconds.
///
/// The process has ended; the delay allows messages that it had sent to arrive.
const REFUSED_GONE_US: u64 = 1_000_000;

/// Silence after which an agent is sent no new tasks, in microseconds.
///
/// Three heartbeat intervals, so that one lost answer does not take an agent out of service.
pub const AGENT_SILENT_US: u64 = 750_000;

/// Silence of a replacement after which announcements of the replaced incarnation are accepted,
/// in microseconds.
///
/// Longer than the interval between announcements of a live agent.
const REPLACED_SILENCE_US: u64 = 5_000_000;

/// Time after which rules are resent to an agent that has not reported their revision, in
/// microseconds.
pub const RULES_RESEND_US: u64 = 1_000_000;

new_key_type! {
    /// Locates an agent in the entry's arena.
    pub struct AgentKey;
}

/// This entry's view of an agent.
#[derive(Debug)]
pub struct AgentView {
    pub info: AgentInfo,
    pub last_contact_us: u64,
    /// Whether another incarnation has announced itself at the same address.
    pub replaced: bool,
    /// Whether another incarnation has answered in its place, which proves that it has ended and
    /// acknowledges no more heartbeats.
    pub ended: bool,
    /// Whether the agent's host has refused a connection since the agent's last message.
    refused: bool,
    pub permit: Option<Permit>,
    /// Time on this entry's clock from which the permit is no longer used.
    pub permit_until_us: u64,
    pub load: Load,
    /// Number of tasks sent without an outcome yet, over all shards of this entry.
    pub outstanding: u32,
    /// Run time relative to the mean of all agents for the same kinds of tasks.
    pub slowness: f64,
    pub health: Health,
    pub next_heartbeat_us: u64,
    /// Number of shards of this entry whose rosters list the agent.
    pub roster_count: u32,
    /// Newest revision of the rules sent.
    pub sent_rules_revision: u64,
    /// Time from which the rules are resent.
    pub resend_rules_us: u64,
    outbox: Vec<OwnerMessage>,
    urgent: bool,
}

impl AgentView {
    fn new(info: AgentInfo, now_us: u64) -> Self {
        Self {
            info,
            last_contact_us: now_us,
            replaced: false,
            ended: false,
            refused: false,
            permit: None,
            permit_until_us: 0,
            load: Load::default(),
            outstanding: 0,
            slowness: 1.0,
            health: Health::default(),
            next_heartbeat_us: 0,
            roster_count: 0,
            sent_rules_revision: 0,
            resend_rules_us: 0,
            outbox: Vec::new(),
            urgent: false,
        }
    }

    /// Queues a message that is sent with the next flush.
    pub fn push(&mut self, message: OwnerMessage) {
        self.outbox.push(message);
        self.urgent = true;
    }

    /// Queues the acknowledgement of an outcome, batched with others of the same shard.
    ///
    /// It is sent with the next urgent message, at the latest with a heartbeat. Agents resend
    /// outcomes only after a longer time.
    pub fn queue_outcome_ack(&mut self, shard: ShardKey, task: TaskKey) {
        // An agent that is on no roster is sent no heartbeats.
        self.urgent |= self.roster_count == 0;
        let known = self.outbox.iter_mut().find_map(|message| match message {
            OwnerMessage::Received { shard: at, tasks } if *at == shard => Some(tasks),
            _ => None,
        });
        match known {
            Some(tasks) => tasks.push(task),
            None => self.outbox.push(OwnerMessage::Received {
                shard,
                tasks: vec![task],
            }),
        }
    }

    pub fn is_gone(&self, now_us: u64) -> bool {
        let limit_us = if self.refused {
            REFUSED_GONE_US
        } else {
            AGENT_GONE_US
        };
        self.ended || self.replaced || now_us > self.last_contact_us + limit_us
    }

    /// Records a message from the agent.
    pub fn record_contact(&mut self, now_us: u64) {
        self.last_contact_us = now_us;
        self.refused = false;
    }

    /// Returns whether the agent can be sent another task now.
    pub fn has_room(&self, now_us: u64) -> bool {
        self.load.ready
            && !self.info.draining
            && !self.replaced
            && now_us < self.permit_until_us
            && now_us < self.last_contact_us + AGENT_SILENT_US
            && self.outstanding < u32::from(self.load.window)
    }

    pub fn slots(&self) -> u32 {
        self.info
            .target
            .as_ref()
            .map_or(1, |target| u32::from(target.slots.max(1)))
    }

    pub fn serves(&self, firm: FirmKey, group: GroupKey) -> bool {
        self.info
            .target
            .as_ref()
            .is_some_and(|target| target.group == group && target.firms.contains(&firm))
    }
}

/// All agents known to an entry.
#[derive(Debug, Default)]
pub struct Agents {
    arena: SlotMap<AgentKey, AgentView>,
    by_process: FxHashMap<ProcessKey, AgentKey>,
    by_address: FxHashMap<String, ProcessKey>,
    next_heartbeat_us: u64,
}

impl Agents {
    pub fn get(&self, key: AgentKey) -> Option<&AgentView> {
        self.arena.get(key)
    }

    pub fn get_mut(&mut self, key: AgentKey) -> Option<&mut AgentView> {
        self.arena.get_mut(key)
    }

    pub fn find(&self, process: ProcessKey) -> Option<AgentKey> {
        self.by_process.get(&process).copied()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut AgentView> {
        self.arena.values_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = (AgentKey, &AgentView)> {
        self.arena.iter()
    }

    /// Handles an announcement.
    ///
    /// An announcement of a replaced incarnation is stale and ignored, unless its replacement has
    /// become silent: then the replacement's announcement was the stale one.
    pub fn announce(&mut self, info: AgentInfo, now_us: u64) -> AgentKey {
        let Some(key) = self.find(info.key) else {
            self.mark_replaced(&info);
            return self.insert(info, now_us);
        };
        if self.arena[key].replaced {
            if !self.is_silent_at(&info.address, now_us) {
                return key;
            }
            self.arena[key].replaced = false;
        }
        self.mark_replaced(&info);
        // An agent known only from a shard's record is not indexed by address yet.
        self.by_address.insert(info.address.clone(), info.key);
        let view = &mut self.arena[key];
        view.record_contact(now_us);
        view.info = info;
        key
    }

    /// Returns whether the incarnation last seen at an address has become silent.
    fn is_silent_at(&self, address: &str, now_us: u64) -> bool {
        let current = self.by_address.get(address);
        let view = current
            .and_then(|process| self.find(*process))
            .and_then(|key| self.get(key));
        view.is_none_or(|view| now_us > view.last_contact_us + REPLACED_SILENCE_US)
    }

    /// Returns the key of a roster member; inserts a view if the agent is unknown.
    pub fn find_or_insert(&mut self, process: ProcessKey, address: &str, now_us: u64) -> AgentKey {
        if let Some(key) = self.find(process) {
            return key;
        }
        let info = AgentInfo {
            key: process,
            address: address.to_owned(),
            failure_domain: String::new(),
            target: None,
            draining: false,
        };
        self.insert_without_address(info, now_us)
    }

    fn insert(&mut self, info: AgentInfo, now_us: u64) -> AgentKey {
        self.by_address.insert(info.address.clone(), info.key);
        self.insert_without_address(info, now_us)
    }

    fn insert_without_address(&mut self, info: AgentInfo, now_us: u64) -> AgentKey {
        let process = info.key;
        let key = self.arena.insert(AgentView::new(info, now_us));
        self.by_process.insert(process, key);
        key
    }

    /// Records that another incarnation answered a message for the agent.
    pub fn mark_ended(&mut self, process: ProcessKey) {
        if let Some(key) = self.find(process) {
            self.arena[key].ended = true;
        }
    }

    /// Records that the agent's host refused a connection.
    pub fn mark_refused(&mut self, process: ProcessKey) {
        if let Some(key) = self.find(process) {
            self.arena[key].refused = true;
        }
    }

    fn mark_replaced(&mut self, info: &AgentInfo) {
        let Some(&earlier) = self.by_address.get(&info.address) else {
            return;
        };
        if earlier == info.key {
            return;
        }
        if let Some(key) = self.find(earlier) {
            self.arena[key].replaced = true;
        }
        self.by_address.insert(info.address.clone(), info.key);
    }

    /// Subtracts a pause of this process from the silence of agents.
    pub fn discount_pause(&mut self, pause_us: u64, now_us: u64) {
        for view in self.arena.values_mut() {
            view.last_contact_us = (view.last_contact_us + pause_us).min(now_us);
        }
    }

    /// Removes agents that are gone and on no roster.
    pub fn remove_gone(&mut self, now_us: u64) {
        let gone: Vec<AgentKey> = self
            .arena
            .iter()
            .filter(|(_, view)| view.roster_count == 0 && view.is_gone(now_us))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            let Some(view) = self.arena.remove(key) else {
                continue;
            };
            self.by_process.remove(&view.info.key);
            if self.by_address.get(&view.info.address) == Some(&view.info.key) {
                self.by_address.remove(&view.info.address);
            }
        }
    }

    /// Makes an agent's heartbeat due at once.
    pub fn make_heartbeat_due(&mut self, key: AgentKey, now_us: u64) {
        if let Some(view) = self.arena.get_mut(key) {
            view.next_heartbeat_us = now_us;
            self.next_heartbeat_us = now_us;
        }
    }

    /// Returns the agents whose heartbeat is due.
    pub fn due_heartbeats(&mut self, now_us: u64) -> Vec<AgentKey> {
        if now_us < self.next_heartbeat_us {
            return Vec::new();
        }
        let mut due = Vec::new();
        self.next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_MS * 1_000;
        for (key, view) in &self.arena {
            if view.roster_count == 0 || view.replaced {
                continue;
            }
            if view.next_heartbeat_us <= now_us {
                due.push(key);
                continue;
            }
            self.next_heartbeat_us = self.next_heartbeat_us.min(view.next_heartbeat_us);
        }
        due
    }

    /// Queues a heartbeat and schedules the next one.
    pub fn queue_heartbeat(
        &mut self,
        key: AgentKey,
        shards: Vec<ShardHeartbeat>,
        now_us: u64,
        next_us: u64,
    ) {
        let view = &mut self.arena[key];
        view.next_heartbeat_us = next_us;
        view.push(OwnerMessage::Heartbeat(Heartbeat {
            sent_us: now_us,
            shards,
        }));
    }

    /// Sends the queued messages of agents with an urgent one; returns the number of envelopes.
    pub fn flush(
        &mut self,
        from: ProcessKey,
        from_address: &str,
        actions: &mut Vec<Action>,
    ) -> u64 {
        let mut sent = 0;
        for view in self.arena.values_mut().filter(|view| view.urgent) {
            view.urgent = false;
            sent += 1;
            actions.push(Action::Send {
                address: view.info.address.clone(),
                envelope: OwnerEnvelope {
                    from,
                    from_address: from_address.to_owned(),
                    to: view.info.key,
                    messages: std::mem::take(&mut view.outbox),
                },
            });
        }
        sent
    }
}
