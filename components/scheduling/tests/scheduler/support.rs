//! A scheduler between fake agents and callers.

use std::rc::Rc;

use model::{
    HostUpdate, HostView, JobId, Neighbors, Opening, Orders, ProcessKey, Resources, RunDurations,
    RunEnd, RunEvent, RunId, RunPermit,
};
use scheduling::{
    HostInfo, HostSlot, JobRequest, QueueRules, Scheduler, SchedulerAction, StepRequest,
    SubmitOutcome, Verdict,
};

pub const ENTRY: ProcessKey = ProcessKey(7);
pub const DECLARED_MS: u32 = 100;

pub fn id(number: u64) -> JobId {
    JobId::parse(&format!("{number:016x}")).expect("sixteen digits")
}

pub fn agent(host: usize) -> ProcessKey {
    ProcessKey(100 + host as u64)
}

pub fn queue(priority: u8) -> Rc<QueueRules> {
    Rc::new(QueueRules {
        name: Rc::from("queue"),
        group: Rc::from("group"),
        priority,
        max_failures: 2,
        stretch: 1.6,
        allowance_ms: 60,
        timeout_ms: 1_500,
    })
}

pub fn job(number: u64, tasks: u16) -> JobRequest {
    JobRequest {
        id: id(number),
        queue: queue(1),
        specification: Rc::from("spec"),
        steps: vec![StepRequest {
            count: tasks,
            needs: Resources {
                cpu_millis: 1_000,
                memory_mib: 1,
                gpus: 0,
            },
            declared_ms: DECLARED_MS,
            after: Vec::new(),
            required_label: None,
            preferred_label: None,
            max_per_host: None,
        }],
        time_left_ms: 1_500,
    }
}

pub fn view(free_millis: u32) -> HostView {
    HostView {
        is_open: true,
        closes_in_ms: None,
        group: Rc::from("group"),
        labels: vec![Rc::from("a")],
        capacity: Resources {
            cpu_millis: 8_000,
            memory_mib: 1_000,
            gpus: 0,
        },
        free: Resources {
            cpu_millis: free_millis,
            memory_mib: 1_000,
            gpus: 0,
        },
        backlog_core_ms: 0,
        waiting_core_ms: 0,
        urgent_core_ms: 0,
        speed_permille: 1_000,
        speed_log_deviation_permille: 0,
        openings: vec![opening(0, free_millis)],
        urgent_openings: vec![opening(0, free_millis)],
        neighbors: Neighbors::default(),
        target_number: None,
    }
}

pub fn opening(in_ms: u32, free_millis: u32) -> Opening {
    Opening {
        in_ms,
        free: Resources {
            cpu_millis: free_millis,
            memory_mib: 1_000,
            gpus: 0,
        },
    }
}

pub fn ended(end: RunEnd, ran_ms: u32) -> RunEvent {
    let durations = RunDurations {
        waited_ms: 0,
        ran_ms,
        was_host_busy: false,
    };
    RunEvent::Ended(end, durations)
}

pub const START_MS: u64 = 10_000;

pub struct Bench {
    pub scheduler: Scheduler,
    pub slots: Vec<HostSlot>,
    pub now_ms: u64,
    pub actions: Vec<SchedulerAction>,
    pub events: u64,
}

impl Bench {
    pub fn new(hosts: usize) -> Self {
        Self::in_failure_domains(&vec!["domain"; hosts])
    }

    /// Creates a scheduler with one host in each of the given failure domains.
    pub fn in_failure_domains(failure_domains: &[&str]) -> Self {
        let hosts = failure_domains.len();
        let mut scheduler = Scheduler::new(ENTRY, "domain", 1.0);
        let slots: Vec<HostSlot> = (0..hosts)
            .map(|host| {
                let info = HostInfo {
                    name: Rc::from(format!("host-{host}")),
                    address: Rc::from(format!("host-{host}")),
                    failure_domain: Rc::from(failure_domains[host]),
                };
                scheduler.add_host(START_MS, info)
            })
            .collect();
        let mut bench = Self {
            scheduler,
            slots,
            now_ms: START_MS,
            actions: Vec::new(),
            events: 0,
        };
        bench.tick(0);
        for host in 0..hosts {
            bench.connect(host);
            bench.report(host, &[]);
        }
        bench
    }

    pub fn connect(&mut self, host: usize) {
        self.scheduler.host_connected(self.slots[host], agent(host));
    }

    pub fn host_update(&self, host: usize, view: HostView) -> HostUpdate {
        HostUpdate {
            permit: RunPermit {
                agent: agent(host),
                issued_ms: self.now_ms,
            },
            has_no_earlier_runs: true,
            view,
            events: Vec::new(),
            evacuations: None,
            quarantines: Vec::new(),
        }
    }

    pub fn report(&mut self, host: usize, events: &[(RunId, RunEvent)]) {
        self.report_view(host, view(8_000), events);
    }

    pub fn report_view(&mut self, host: usize, view: HostView, events: &[(RunId, RunEvent)]) {
        let mut update = self.host_update(host, view);
        for (run, event) in events {
            self.events += 1;
            update.events.push((self.events, *run, *event));
        }
        let slot = self.slots[host];
        self.scheduler
            .handle_update(self.now_ms, slot, None, &update, &mut self.actions);
    }

    pub fn submit(&mut self, request: JobRequest) -> SubmitOutcome {
        self.scheduler
            .submit(self.now_ms, request, &mut self.actions)
    }

    pub fn orders(&mut self, host: usize) -> Option<Orders> {
        self.scheduler.take_orders(self.slots[host])
    }

    pub fn answer_orders(&mut self, host: usize, orders: &Orders) {
        let update = self.host_update(host, view(8_000));
        let slot = self.slots[host];
        let number = Some(orders.number);
        self.scheduler
            .handle_update(self.now_ms, slot, number, &update, &mut self.actions);
    }

    pub fn runs(orders: &Orders) -> Vec<RunId> {
        let runs = orders.starts.iter().flat_map(|start| {
            start.tasks.iter().map(|(index, attempt)| RunId {
                task: model::TaskRef {
                    job: start.job,
                    step: start.step,
                    index: *index,
                },
                attempt: *attempt,
            })
        });
        runs.collect()
    }

    pub fn tick(&mut self, ms: u64) {
        self.now_ms += ms;
        self.scheduler.tick(self.now_ms, &mut self.actions);
    }

    pub fn verdict(&mut self) -> Option<Verdict> {
        let mut verdicts = self.actions.iter().rev().filter_map(|action| match action {
            SchedulerAction::Answer { verdict, .. } => Some(*verdict),
            _ => None,
        });
        verdicts.next()
    }
}
