//! Time of one decision at the target size: 650 servers with all slots busy and
//! 110 customers with waiting tasks.

use std::{collections, sync, time};

use criterion::{Criterion, criterion_group, criterion_main};
use cuminkeel_dispatch::{event, factory, policy, share};
use cuminkeel_types::{job, names, outcome, time as clock};

const SERVERS: usize = 650;
const CUSTOMERS: usize = 110;
const SLOTS: u32 = 8;
const TASKS_PER_JOB: usize = 20;
/// Waiting tasks below which more jobs are submitted, outside the measurement.
const REFILL_BELOW: usize = 4_000;

/// A policy at full load, and the tasks that it runs.
struct LoadedPolicy {
    policy: Box<dyn policy::DispatchPolicy>,
    running: collections::VecDeque<(outcome::TaskKey, names::ServerName)>,
    waiting: usize,
    now: clock::TimePoint,
    next_job: u128,
    actions: Vec<event::DispatchAction>,
}

impl LoadedPolicy {
    fn new() -> Self {
        let settings = factory::PolicySettings {
            local: event::SiblingEntry {
                vm: "entry".into(),
                incarnation: names::IncarnationId(1),
            },
            domain: "gebze".into(),
            response_weight: 1.0,
            message_weight: 1.0,
        };
        let gate = Box::new(share::LocalGate::default());
        let policy = factory::policy_by_name("cuminkeel", &settings, gate, 1)
            .expect("the factory knows its own policy");
        let mut loaded = Self {
            policy,
            running: collections::VecDeque::new(),
            waiting: 0,
            now: clock::TimePoint::from_millis(1),
            next_job: 0,
            actions: Vec::new(),
        };
        let servers = (0..SERVERS).map(|at| event::ServerRecord {
            name: names::ServerName::new(format!("server-{at}")),
            domain: "gebze".into(),
            rack: "rack".into(),
            slots: SLOTS,
            max_size_millicores: 4_000,
            leaving: false,
        });
        loaded.tell(event::DispatchEvent::ServersChanged(servers.collect()));
        while loaded.running.len() < SERVERS * SLOTS as usize {
            loaded.submit();
        }
        loaded
    }

    fn submit(&mut self) {
        self.next_job += 1;
        let customer = self.next_job % CUSTOMERS as u128;
        let task = job::TaskSpec {
            class: "price".into(),
            size_millicores: 500,
            declared_run_time: time::Duration::from_millis(100),
            payload: "{}".into(),
        };
        let spec = job::JobSpec {
            customer: names::CustomerName::new(format!("customer-{customer}")),
            idempotent: false,
            trace_parent: None,
            deadline: time::Duration::from_hours(1),
            tasks: vec![task; TASKS_PER_JOB],
        };
        self.waiting += TASKS_PER_JOB;
        self.tell(event::DispatchEvent::JobSubmitted(event::JobRequest {
            id: names::JobId(self.next_job),
            spec: sync::Arc::new(spec),
        }));
    }

    fn tell(&mut self, event: event::DispatchEvent) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let event::DispatchAction::StartTask { task, server, .. } = action {
                self.running.push_back((task, server));
                self.waiting -= 1;
            }
        }
    }

    /// Ends the oldest task, so that one waiting task is placed, and returns the
    /// time that the policy took.
    fn decide(&mut self) -> time::Duration {
        while self.waiting < REFILL_BELOW {
            self.submit();
        }
        self.now = self.now + time::Duration::from_micros(40);
        let (task, server) = self.running.pop_front().expect("all slots are busy");
        let event = event::DispatchEvent::TaskEnded {
            task,
            server,
            outcome: outcome::TaskOutcome::Done {
                output: "{}".into(),
                run_time: time::Duration::from_millis(100),
            },
        };
        self.actions.clear();
        let started = time::Instant::now();
        self.policy.handle(self.now, event, &mut self.actions);
        let spent = started.elapsed();
        for action in self.actions.drain(..) {
            if let event::DispatchAction::StartTask { task, server, .. } = action {
                self.running.push_back((task, server));
                self.waiting -= 1;
            }
        }
        spent
    }
}

fn placement(criterion: &mut Criterion) {
    let mut loaded = LoadedPolicy::new();
    criterion.bench_function("end_and_place_650_servers_110_customers", |bencher| {
        bencher.iter_custom(|count| (0..count).map(|_| loaded.decide()).sum());
    });
}

criterion_group!(benches, placement);
criterion_main!(benches);
