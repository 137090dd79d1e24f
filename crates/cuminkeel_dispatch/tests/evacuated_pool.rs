//! Tests of single decisions of a pool: while its failure domain is evacuated, and after a pause of its process.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{
    job_model, leadership, pool, pool_action, pool_room, server_model, settings,
};
use smallvec::SmallVec;

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Returns a pool that has claimed the server `s1`, on which the runs `running` go on, with room for one
/// task more.
fn held_pool(
    evacuation_bound: Option<time::Duration>,
    running: Vec<server_model::ReportedRun>,
) -> pool::ServerPool {
    let pool_settings = settings::PoolSettings {
        evacuation_bound,
        ..settings::PoolSettings::new(ms(1_000), ms(50), ms(1_300))
    };
    let mut pool = pool::ServerPool::new(pool_settings, 1);
    let id: Arc<str> = Arc::from("s1");
    let entry = server_model::ServerEntry {
        id: Arc::clone(&id),
        service: Arc::from("desk"),
        address: Arc::from("s1:1"),
        failure_domain: Arc::from("here"),
        draining: false,
        cpu_millis: 8_000 + 5_000 * u32::try_from(running.len()).expect("few runs"),
        memory_mb: 1_024,
        gpus: 0,
        labels: SmallVec::new(),
        incarnation: 1,
        sequence: 1,
        cold_remaining: time::Duration::ZERO,
    };
    pool.apply_registry_entry(entry, ms(1));
    pool.reconcile_claims(&BTreeSet::from([id]), leadership::ShardSet::ALL, ms(1));
    pool.record_registry_read(ms(1));
    let report = server_model::HoldReport {
        clock_ms: 1_000,
        incarnation: Some(1),
        running,
        finished: Vec::new(),
        unreadable_count: 0,
    };
    for action in pool.take_actions(ms(1)) {
        if let pool_action::PoolAction::Hold(order) = action {
            let outcome = server_model::HoldOutcome::Reported(report.clone());
            pool.apply_hold_outcome(&order, outcome, ms(2));
        }
    }
    pool
}

fn offer(id: &str, task_count: u16) -> job_model::JobOffer {
    let step = job_model::StepSpec {
        task_count,
        cpu_millis: 5_000,
        memory_mb: 64,
        gpus: 0,
        estimate_ms: 100,
        depends_on: SmallVec::new(),
        required_label: None,
        data_rack: None,
        max_per_server: None,
    };
    job_model::JobOffer {
        spec: Arc::new(job_model::JobSpec {
            id: Arc::from(id),
            route: Arc::from("route"),
            service: Arc::from("desk"),
            payload: Arc::from(""),
            steps: vec![step],
            priority: 0,
            max_attempts: 2,
            stretch_factor: 1.6,
            target_latency_ms: 5_000,
        }),
        age: time::Duration::ZERO,
        time_to_deadline: ms(5_000),
        may_have_started: false,
        terms: job_model::OfferTerms::Useful,
        sent_at: ms(10),
        source: Arc::from("vm"),
        session: job_model::OfferSession::default(),
        is_resumed: false,
    }
}

fn submit(pool: &mut pool::ServerPool, offer: &job_model::JobOffer) -> Vec<job_model::JobEnd> {
    pool.submit(offer, pool_action::WaiterId(1), ms(10));
    let actions = pool.take_actions(ms(10)).into_iter();
    actions
        .filter_map(|action| match action {
            pool_action::PoolAction::AnswerWaiter { end, .. } => Some(end),
            _ => None,
        })
        .collect()
}

fn start_count(pool: &mut pool::ServerPool, now: time::Duration) -> usize {
    let actions = pool.take_actions(now);
    let is_start = |action: &&_| matches!(action, pool_action::PoolAction::Start(_));
    actions.iter().filter(is_start).count()
}

/// Other processes would go on offering jobs to an evacuated domain that reported room.
#[test]
fn evacuated_pool_reports_no_room_and_refuses_for_now() {
    let mut pool = held_pool(Some(ms(5_000)), Vec::new());
    assert_eq!(pool.load(ms(3)).free_cpu_millis, 8_000);
    pool.set_evacuation(Some(pool::EvacuationStart::LearntAt(ms(3))), ms(3));
    let load = pool.load(ms(3));
    assert_eq!((load.free_cpu_millis, load.held_servers), (0, 1));
    assert_eq!(pool.room(ms(3)), pool_room::PoolRoom::default());
    let ends = submit(&mut pool, &offer("job", 1));
    let [
        job_model::JobEnd::Refused {
            reason,
            retry_after,
        },
    ] = &ends[..]
    else {
        panic!("expected a refusal, got {ends:?}");
    };
    assert_eq!(*reason, job_model::RefusalReason::Evacuated);
    // No wait: the shortest range of the jitter.
    assert!(*retry_after <= time::Duration::from_secs(1));
    pool.set_evacuation(None, ms(20));
    assert_eq!(pool.load(ms(20)).free_cpu_millis, 8_000);
    assert_eq!(submit(&mut pool, &offer("other", 1)), []);
}

/// A job with one of three tasks done in turn. A state that allows more than the known one, such as that
/// of a repeated request, would prolong the time in which tasks may still start.
#[test]
fn start_of_an_evacuation_only_changes_to_a_stricter_one() {
    use pool::EvacuationStart::{LearntAt, Unknown};

    let cases = [
        (
            "within the quarter",
            Some(ms(5_000)),
            vec![LearntAt(ms(11))],
            1,
        ),
        ("quarter is over", Some(ms(40)), vec![LearntAt(ms(11))], 0),
        (
            "learnt twice",
            Some(ms(40)),
            vec![LearntAt(ms(11)), LearntAt(ms(19))],
            0,
        ),
        (
            "unknown, then learnt",
            Some(ms(5_000)),
            vec![Unknown, LearntAt(ms(19))],
            0,
        ),
        (
            "learnt, then unknown",
            Some(ms(5_000)),
            vec![LearntAt(ms(11)), Unknown],
            0,
        ),
        ("no bound", None, vec![LearntAt(ms(19))], 0),
    ];
    for (name, bound, starts, expected) in cases {
        let mut pool = held_pool(bound, Vec::new());
        pool.submit(&offer("job", 3), pool_action::WaiterId(1), ms(10));
        let started = pool
            .take_actions(ms(10))
            .into_iter()
            .find_map(|action| match action {
                pool_action::PoolAction::Start(order) => Some(order),
                _ => None,
            });
        let started = started.expect("an order to start the first task");
        for start in starts {
            pool.set_evacuation(Some(start), ms(19));
        }
        // The task is put back into the queue, and nothing of the job runs any more.
        let late = server_model::StartOutcome::StaleRunId;
        pool.apply_start_outcome(&started, late, ms(30));
        assert_eq!(start_count(&mut pool, ms(30)), expected, "{name}");
        pool.set_evacuation(None, ms(40));
        pool.submit(&offer("next", 1), pool_action::WaiterId(2), ms(40));
        assert_eq!(
            start_count(&mut pool, ms(40)),
            1 - expected,
            "{name}: after the evacuation"
        );
    }
}

/// A resent job whose run goes on here must be answered by this pool: elsewhere it would run twice.
#[test]
fn offer_that_adopts_an_inherited_run_is_admitted() {
    let running = server_model::ReportedRun {
        task: job_model::TaskName::parse("job.0.0.0").expect("a task name"),
        run_id: 1,
        percent: 0,
    };
    let mut pool = held_pool(Some(ms(5_000)), vec![running]);
    pool.set_evacuation(Some(pool::EvacuationStart::Unknown), ms(3));
    pool.submit(&offer("job", 2), pool_action::WaiterId(1), ms(10));
    let ends_or_starts = |action: &pool_action::PoolAction| {
        matches!(
            action,
            pool_action::PoolAction::AnswerWaiter { .. } | pool_action::PoolAction::Start(_)
        )
    };
    let found = pool.take_actions(ms(10)).into_iter().find(ends_or_starts);
    assert_eq!(
        found, None,
        "the job waits for its run, and its other task doesn't start"
    );
}

/// Guards against a process that is paused between an offer and the placement of its tasks, and then starts them on
/// servers that another process holds by now.
#[test]
fn tasks_are_not_placed_after_a_pause() {
    let mut pool = held_pool(None, Vec::new());
    pool.submit(&offer("job", 3), pool_action::WaiterId(1), ms(10));
    assert_eq!(start_count(&mut pool, ms(10 + 500)), 0);
    let mut pool = held_pool(None, Vec::new());
    pool.submit(&offer("job", 3), pool_action::WaiterId(1), ms(10));
    assert!(start_count(&mut pool, ms(11)) > 0);
}
