//! Dispatch: time of one task from its start to the next and memory, by the
//! number of servers, with 110 customers queued.

use std::{collections, sync, time};

use cuminkeel_dispatch::{event, factory, policy, share};
use cuminkeel_types::{job, names, outcome, time as points};

use super::{CapacityPoint, CapacitySeries, memory_growth, micros_each};

const SERVERS: [usize; 4] = [17, 108, 325, 650];
const JOB_SIZES: [usize; 3] = [10, 100, 850];
const CUSTOMERS: u128 = 110;
const SLOTS: u32 = 8;
const TASKS_PER_JOB: usize = 20;
const ENDED_TASKS: usize = 20_000;
const SUBMITTED_TASKS: usize = 17_000;
const RUN_TIME: time::Duration = time::Duration::from_millis(100);

pub(super) fn measure(seed: u64) -> Vec<CapacitySeries> {
    let mut micros = Vec::new();
    let mut memory = Vec::new();
    // Kept, so that no measurement reuses the memory of an earlier one.
    let mut kept = Vec::new();
    for size in SERVERS {
        let (mut loaded, grown) = memory_growth(|| LoadedPolicy::new(size, seed));
        let value = micros_each(ENDED_TASKS, || loaded.end_tasks(ENDED_TASKS));
        micros.push(CapacityPoint { size, value });
        memory.push(CapacityPoint { size, value: grown });
        kept.push(loaded);
    }
    let jobs = JOB_SIZES
        .iter()
        .map(|size| CapacityPoint {
            size: *size,
            value: submit_micros(*size, seed),
        })
        .collect();
    vec![
        CapacitySeries::new(
            "dispatch",
            "µs per task ended and next started",
            "servers",
            micros,
        ),
        CapacitySeries::new(
            "dispatch",
            "memory bytes, all slots busy",
            "servers",
            memory,
        ),
        CapacitySeries::new("dispatch", "µs per task submitted", "tasks per job", jobs),
    ]
}

fn submit_micros(tasks: usize, seed: u64) -> f64 {
    let mut loaded = LoadedPolicy::new(SERVERS[0], seed);
    let jobs = SUBMITTED_TASKS / tasks;
    micros_each(jobs * tasks, || {
        for _ in 0..jobs {
            loaded.submit(tasks);
        }
    })
}

/// A policy with all slots busy and tasks of all customers waiting.
struct LoadedPolicy {
    policy: Option<Box<dyn policy::DispatchPolicy>>,
    running: collections::VecDeque<(outcome::TaskKey, names::ServerName)>,
    waiting: usize,
    now: points::TimePoint,
    next_job: u128,
}

impl LoadedPolicy {
    fn new(servers: usize, seed: u64) -> Self {
        let settings = factory::PolicySettings {
            local: event::SiblingEntry {
                vm: "entry".into(),
                incarnation: names::IncarnationId(1),
            },
            domain: "domain".into(),
            response_weight: 1.0,
            message_weight: 1.0,
        };
        let gate = Box::new(share::LocalGate::default());
        let name = factory::POLICY_NAMES[0];
        let mut loaded = Self {
            policy: factory::policy_by_name(name, &settings, gate, seed).ok(),
            running: collections::VecDeque::new(),
            waiting: 0,
            now: points::TimePoint::from_millis(1),
            next_job: 0,
        };
        let records = (0..servers).map(server_record).collect();
        loaded.tell(event::DispatchEvent::ServersChanged(records));
        let slots = servers * usize::try_from(SLOTS).unwrap_or(1);
        while loaded.running.len() < slots {
            loaded.submit(TASKS_PER_JOB);
        }
        loaded
    }

    fn submit(&mut self, tasks: usize) {
        self.next_job += 1;
        let task = job::TaskSpec {
            class: "price".into(),
            size_millicores: 500,
            declared_run_time: RUN_TIME,
            payload: "{}".into(),
        };
        let spec = job::JobSpec {
            customer: names::CustomerName::new(format!("customer-{}", self.next_job % CUSTOMERS)),
            idempotent: true,
            deadline: time::Duration::from_hours(1),
            tasks: vec![task; tasks],
            trace_parent: None,
        };
        self.waiting += tasks;
        self.tell(event::DispatchEvent::JobSubmitted(event::JobRequest {
            id: names::JobId(self.next_job),
            spec: sync::Arc::new(spec),
        }));
    }

    fn end_tasks(&mut self, count: usize) {
        for _ in 0..count {
            if self.waiting < usize::try_from(CUSTOMERS).unwrap_or(1) * TASKS_PER_JOB {
                self.submit(TASKS_PER_JOB);
            }
            let Some((task, server)) = self.running.pop_front() else {
                return;
            };
            self.now = self.now + time::Duration::from_micros(20);
            self.tell(event::DispatchEvent::TaskEnded {
                task,
                server,
                outcome: outcome::TaskOutcome::Done {
                    output: "".into(),
                    run_time: RUN_TIME,
                },
            });
        }
    }

    fn tell(&mut self, event: event::DispatchEvent) {
        let Some(policy) = &mut self.policy else {
            return;
        };
        let mut actions = Vec::new();
        policy.handle(self.now, event, &mut actions);
        for action in actions {
            if let event::DispatchAction::StartTask { task, server, .. } = action {
                self.waiting = self.waiting.saturating_sub(1);
                self.running.push_back((task, server));
            }
        }
    }
}

fn server_record(number: usize) -> event::ServerRecord {
    event::ServerRecord {
        name: names::ServerName::new(format!("server-{number}")),
        domain: "domain".into(),
        rack: "rack".into(),
        slots: SLOTS,
        max_size_millicores: 4_000,
        leaving: false,
    }
}
