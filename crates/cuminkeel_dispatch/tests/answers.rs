//! Every policy keeps the rules on starts and answers, case by case.

use std::{sync, time};

use cuminkeel_dispatch::{event, factory, policy, share};
use cuminkeel_types::{job, names, outcome, time as clock};

fn settings() -> factory::PolicySettings {
    factory::PolicySettings {
        local: event::SiblingEntry {
            vm: "entry-1".into(),
            incarnation: names::IncarnationId(1),
        },
        domain: "gebze".into(),
        response_weight: 1.0,
        message_weight: 1.0,
    }
}

fn server(name: &str, slots: u32) -> event::ServerRecord {
    event::ServerRecord {
        name: name.into(),
        domain: "gebze".into(),
        rack: "r1".into(),
        slots,
        max_size_millicores: 4_000,
        leaving: false,
    }
}

fn job(id: u128, tasks: usize) -> event::JobRequest {
    let task = job::TaskSpec {
        class: "price".into(),
        size_millicores: 500,
        declared_run_time: time::Duration::from_millis(100),
        payload: "{}".into(),
    };
    let spec = job::JobSpec {
        customer: "mill".into(),
        idempotent: false,
        deadline: time::Duration::from_secs(2),
        tasks: vec![task; tasks],
        trace_parent: None,
    };
    event::JobRequest {
        id: names::JobId(id),
        spec: sync::Arc::new(spec),
    }
}

/// A policy with one server of two slots, and what it asked for last.
struct Bench {
    policy: Box<dyn policy::DispatchPolicy>,
    now: clock::TimePoint,
    actions: Vec<event::DispatchAction>,
}

impl Bench {
    fn new(name: &str) -> Self {
        let gate = Box::new(share::LocalGate::default());
        let policy = factory::policy_by_name(name, &settings(), gate, 7).unwrap();
        let mut bench = Self {
            policy,
            now: clock::TimePoint::from_millis(1_000),
            actions: Vec::new(),
        };
        bench.tell(event::DispatchEvent::ServersChanged(vec![server("s1", 2)]));
        bench
    }

    fn tell(&mut self, event: event::DispatchEvent) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + time::Duration::from_millis(millis);
        self.tell(event::DispatchEvent::WakeupDue);
    }

    fn started(&self) -> Vec<outcome::TaskKey> {
        let key = |action: &event::DispatchAction| match action {
            event::DispatchAction::StartTask { task, .. } => Some(task.clone()),
            _ => None,
        };
        self.actions.iter().filter_map(key).collect()
    }

    fn stops(&self) -> usize {
        let is_stop = |action: &&event::DispatchAction| {
            matches!(action, event::DispatchAction::StopTask { .. })
        };
        self.actions.iter().filter(is_stop).count()
    }

    fn answer(&self) -> Option<&outcome::JobAnswer> {
        self.actions.iter().find_map(|action| match action {
            event::DispatchAction::FinishJob { answer, .. } => Some(answer),
            _ => None,
        })
    }

    fn refusal(&self) -> Option<(outcome::RefusalCode, outcome::RunStatus)> {
        match self.answer() {
            Some(outcome::JobAnswer::Failed(refusal)) => Some((refusal.code, refusal.ran)),
            _ => None,
        }
    }

    fn end(&mut self, task: &outcome::TaskKey, outcome: outcome::TaskOutcome) {
        self.tell(event::DispatchEvent::TaskEnded {
            task: task.clone(),
            server: "s1".into(),
            outcome,
        });
    }
}

fn done(output: &str) -> outcome::TaskOutcome {
    outcome::TaskOutcome::Done {
        output: output.into(),
        run_time: time::Duration::from_millis(100),
    }
}

fn lost() -> outcome::TaskOutcome {
    outcome::TaskOutcome::Lost {
        detail: "reset".into(),
    }
}

fn failed() -> outcome::TaskOutcome {
    outcome::TaskOutcome::Failed {
        detail: "bad die".into(),
    }
}

fn not_started(cause: outcome::NotStartedCause) -> outcome::TaskOutcome {
    outcome::TaskOutcome::NotStarted { cause }
}

/// Policies that start tasks without probes.
const DIRECT: [&str; 3] = ["cuminkeel", "random", "least_known_load"];
/// Policies that keep to a server's slots and queue what is beyond them.
const QUEUEING: [&str; 2] = ["cuminkeel", "least_known_load"];

#[test]
fn a_whole_answer_holds_each_output_in_task_order() {
    for name in DIRECT {
        let mut bench = Bench::new(name);
        bench.tell(event::DispatchEvent::JobSubmitted(job(1, 2)));
        let started = bench.started();
        assert_eq!(started.len(), 2, "{name}");
        for key in started.iter().rev() {
            bench.end(key, done(&format!("out-{}", key.task.0)));
        }
        let outputs = vec!["out-0".into(), "out-1".into()];
        let whole = outcome::JobAnswer::Complete { outputs };
        assert_eq!(bench.answer(), Some(&whole), "{name}");
    }
}

#[test]
fn a_failed_or_lost_task_fails_the_job_once_and_stops_the_others() {
    let cases = [
        (
            failed(),
            outcome::RefusalCode::TaskFailed,
            outcome::RunStatus::Ran,
        ),
        (
            lost(),
            outcome::RefusalCode::TaskLost,
            outcome::RunStatus::Unknown,
        ),
    ];
    for name in DIRECT {
        for (end, code, ran) in &cases {
            let mut bench = Bench::new(name);
            bench.tell(event::DispatchEvent::JobSubmitted(job(1, 2)));
            let started = bench.started();
            bench.end(&started[0], end.clone());
            assert_eq!(bench.refusal(), Some((*code, *ran)), "{name}");
            assert_eq!(bench.stops(), 1, "{name}");
            bench.end(&started[1], done("late"));
            assert_eq!(bench.answer(), None, "{name}: {code}");
            assert_eq!(bench.started(), vec![], "{name}: {code}");
        }
    }
}

#[test]
fn the_loss_of_a_job_s_only_task_is_never_told_as_not_run() {
    for name in DIRECT {
        let mut bench = Bench::new(name);
        bench.tell(event::DispatchEvent::JobSubmitted(job(1, 1)));
        let started = bench.started();
        bench.end(&started[0], lost());
        let unknown = (outcome::RefusalCode::TaskLost, outcome::RunStatus::Unknown);
        assert_eq!(bench.refusal(), Some(unknown), "{name}");
    }
}

#[test]
fn only_an_attempt_proved_not_started_is_repeated() {
    let causes = [
        outcome::NotStartedCause::SlotsFull,
        outcome::NotStartedCause::NoConnection,
        outcome::NotStartedCause::NotSent,
    ];
    for name in DIRECT {
        for cause in causes {
            let mut bench = Bench::new(name);
            bench.tell(event::DispatchEvent::JobSubmitted(job(1, 1)));
            let started = bench.started();
            bench.end(&started[0], not_started(cause));
            assert_eq!(bench.answer(), None, "{name}: {cause}");
            let mut again = bench.started();
            for _ in 0..100 {
                bench.advance(10);
                again.extend(bench.started());
            }
            assert_eq!(again, started, "{name}: {cause}");
        }
    }
}

#[test]
fn a_repeated_end_changes_nothing() {
    for name in DIRECT {
        let mut bench = Bench::new(name);
        bench.tell(event::DispatchEvent::JobSubmitted(job(1, 2)));
        let started = bench.started();
        bench.end(&started[0], done("a"));
        bench.end(&started[0], lost());
        assert_eq!(bench.answer(), None, "{name}");
    }
}

#[test]
fn cancel_and_deadline_tell_whether_anything_ran() {
    for name in QUEUEING {
        let mut bench = Bench::new(name);
        bench.tell(event::DispatchEvent::JobSubmitted(job(1, 2)));
        bench.tell(event::DispatchEvent::JobSubmitted(job(2, 1)));
        bench.tell(event::DispatchEvent::JobCancelled(names::JobId(2)));
        let waiting = (outcome::RefusalCode::Cancelled, outcome::RunStatus::NotRun);
        assert_eq!(bench.refusal(), Some(waiting), "{name}");
        bench.tell(event::DispatchEvent::JobCancelled(names::JobId(2)));
        assert_eq!(bench.answer(), None, "{name}");
        let wakeup = bench.policy.next_wakeup().unwrap();
        assert!(wakeup <= clock::TimePoint::from_millis(3_000), "{name}");
        bench.advance(2_000);
        let late = (
            outcome::RefusalCode::DeadlineExceeded,
            outcome::RunStatus::Unknown,
        );
        assert_eq!(bench.refusal(), Some(late), "{name}");
        assert_eq!(bench.stops(), 2, "{name}");
    }
}

#[test]
fn draining_refuses_new_jobs_and_finishes_the_accepted() {
    for name in QUEUEING {
        let mut bench = Bench::new(name);
        bench.tell(event::DispatchEvent::JobSubmitted(job(1, 3)));
        let started = bench.started();
        bench.tell(event::DispatchEvent::DrainStarted);
        bench.tell(event::DispatchEvent::JobSubmitted(job(2, 1)));
        let refused = (outcome::RefusalCode::Draining, outcome::RunStatus::NotRun);
        assert_eq!(bench.refusal(), Some(refused), "{name}");
        bench.end(&started[0], done("a"));
        let last = bench.started();
        assert_eq!(last.len(), 1, "{name}");
        bench.end(&started[1], done("b"));
        bench.end(&last[0], done("c"));
        let whole = matches!(bench.answer(), Some(outcome::JobAnswer::Complete { .. }));
        assert!(whole, "{name}");
    }
}
