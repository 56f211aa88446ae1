//! Heartbeats, rules, and the load that the agent reports to owners.

use model::{
    AgentMessage, Heartbeat, HeartbeatAck, Load, PERMIT_TTL_MS, Permit, ProcessKey, Rules,
};

use crate::agent::Agent;

impl Agent {
    pub(crate) fn heartbeat(&mut self, from: ProcessKey, heartbeat: &Heartbeat) {
        let mut shards = Vec::with_capacity(heartbeat.shards.len());
        let mut backlogs = Vec::with_capacity(heartbeat.shards.len());
        for beat in &heartbeat.shards {
            if self.fenced(beat.shard) == Some((beat.generation, from)) {
                shards.push((beat.shard, beat.generation));
                backlogs.push((beat.shard.firm, beat.backlog));
            }
        }
        self.owners.record_heartbeat(from, self.now_us, &backlogs);
        self.divide_windows();
        let permit = Permit {
            agent: self.settings.key,
            expires_us: self.now_us + PERMIT_TTL_MS * 1_000,
        };
        let sent_us = heartbeat.sent_us;
        let ack = HeartbeatAck {
            sent_us,
            shards,
            permit,
        };
        self.outbox.push(from, AgentMessage::HeartbeatAck(ack));
    }

    pub(crate) fn configure(&mut self, rules: &Rules) {
        if rules.revision <= self.config_revision {
            return;
        }
        self.config_revision = rules.revision;
        self.queue.apply_rules(rules);
        self.divide_windows();
    }

    pub(crate) fn divide_windows(&mut self) {
        let capacity = self
            .target
            .max_concurrent_calls()
            .saturating_add(self.settings.lookahead_tasks);
        let queue = &self.queue;
        self.owners.divide(capacity, |firm| queue.weight(firm));
    }

    pub(crate) fn is_ready(&self) -> bool {
        let is_backing_off = self.target.backoff_until_us(self.now_us).is_some();
        !self.draining && self.target.info().is_some() && !is_backing_off
    }

    pub(crate) fn load(&self, to: ProcessKey) -> Load {
        let ready = self.is_ready();
        let is_full = self.is_result_memory_full() || self.is_record_table_full();
        let window = match (ready && !is_full, self.target.is_failing()) {
            (false, _) => 0,
            (true, true) => 1,
            (true, false) => self.owners.window(to),
        };
        Load {
            window,
            running: saturating_u16(self.calls.len()),
            queued: saturating_u16(self.queue.len()),
            ready,
            config_revision: self.config_revision,
        }
    }
}

fn saturating_u16(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
