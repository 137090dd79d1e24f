//! Single faults, each with what the pool promises through it.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, pool_action, server_slot, settings};
use cuminkeel_replay::{fake_server, load_pattern, pool_simulation};
use smallvec::SmallVec;

const SHORT: time::Duration = time::Duration::from_millis(200);
const LONG: time::Duration = time::Duration::from_millis(900);

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

fn truth(work: time::Duration) -> fake_server::TaskProfile {
    fake_server::TaskProfile {
        cpu_millis: 7_000,
        nominal_run_time: work,
        always_fails: false,
    }
}

fn ticket(id: &str, tasks: u16, work: time::Duration) -> job_model::JobTicket {
    let step = job_model::StepSpec {
        task_count: tasks,
        cpu_millis: 7_000,
        memory_mb: 64,
        gpus: 0,
        estimate_ms: u32::try_from(work.as_millis()).expect("a short time"),
        depends_on: SmallVec::new(),
        required_label: None,
        data_rack: None,
        max_per_server: None,
    };
    job_model::JobTicket {
        spec: Arc::new(job_model::JobSpec {
            id: Arc::from(id),
            route: Arc::from("route"),
            service: Arc::from("order-desk"),
            payload: Arc::from("payload"),
            steps: vec![step],
            priority: 0,
            max_attempts: 2,
            stretch_factor: 1.6,
            target_latency_ms: 60,
        }),
        age: time::Duration::ZERO,
        time_to_deadline: ms(5_000),
        may_have_started: false,
        terms: job_model::OfferTerms::Useful,
    }
}

fn server(name: &str) -> fake_server::FakeServer {
    fake_server::FakeServer::new(name, 16_000, 1.0, "a")
}

/// Pools and servers; pool 0 holds all servers after the first 100 ms.
fn led_world(pools: usize, servers: &[&str]) -> pool_simulation::PoolSimulation {
    let servers = servers.iter().map(|name| server(name)).collect();
    let mut world =
        pool_simulation::PoolSimulation::new(pools, servers, settings::PoolPolicies::default());
    world.lead(0);
    world.run_until(ms(100));
    world
}

fn ends(world: &pool_simulation::PoolSimulation, job: &str) -> Vec<job_model::JobEnd> {
    world
        .outcomes
        .iter()
        .filter(|outcome| &*outcome.job == job)
        .map(|outcome| outcome.end.clone())
        .collect()
}

fn noted(world: &pool_simulation::PoolSimulation, kind: pool_action::DecisionKind) -> usize {
    world
        .decisions
        .iter()
        .filter(|(_, note)| note.kind == kind)
        .count()
}

#[test]
fn a_job_is_completed_once_all_its_tasks_are_done() {
    let mut world = led_world(1, &["s1", "s2"]);
    world.submit(0, &ticket("job", 4, SHORT), truth(SHORT));
    world.run_until(ms(250));
    assert_eq!(ends(&world, "job"), []);
    world.run_until(ms(1_000));
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(world.violations, []);
}

#[test]
fn a_later_claim_wins_and_the_former_owner_learns_of_it() {
    let mut world = led_world(2, &["s1", "s2"]);
    world.lead(1);
    world.run_until(ms(1_500));
    assert_eq!(world.lost_servers.len(), 2);
    assert!(world.lost_servers.iter().all(|(pool, _)| *pool == 0));
    for name in ["s1", "s2"] {
        assert_eq!(
            world.pools[0].claim_state(name),
            Some(server_slot::ClaimState::Unclaimed)
        );
        assert_eq!(
            world.pools[1].claim_state(name),
            Some(server_slot::ClaimState::Held)
        );
    }
}

#[test]
fn a_claim_race_starts_no_task_twice() {
    for offset in 0..20 {
        let mut world = led_world(2, &["s1", "s2", "s3"]);
        for number in 0..5 {
            let id = format!("job{number}");
            world.submit(0, &ticket(&id, 1, SHORT), truth(SHORT));
        }
        world.run_until(ms(100) + time::Duration::from_micros(offset * 300));
        world.lead(1);
        for number in 0..5 {
            let job = job_model::JobTicket {
                may_have_started: true,
                ..ticket(&format!("job{number}"), 1, SHORT)
            };
            world.submit(1, &job, truth(SHORT));
        }
        world.run_until(ms(4_000));
        assert_eq!(world.violations, [], "offset {offset}");
        for number in 0..5 {
            let ends = ends(&world, &format!("job{number}"));
            assert!(
                ends.contains(&job_model::JobEnd::Completed),
                "offset {offset} job {number}: {ends:?}"
            );
        }
    }
}

#[test]
fn a_resubmitted_job_takes_over_the_runs_of_its_former_pool() {
    let mut world = led_world(2, &["s1"]);
    world.submit(0, &ticket("job", 2, LONG), truth(LONG));
    world.run_until(ms(300));
    world.pause(0);
    world.lead(1);
    let job = job_model::JobTicket {
        may_have_started: true,
        ..ticket("job", 2, LONG)
    };
    // Before the claim is answered: the listed runs find the waiting job.
    world.submit(1, &job, truth(LONG));
    world.run_until(ms(1_100));
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(world.violations, []);
    let placed = world
        .decisions
        .iter()
        .filter(|(_, note)| note.kind == pool_action::DecisionKind::Placed)
        .count();
    assert_eq!(placed, 2, "no task started again");
}

#[test]
fn a_former_leader_that_leads_again_starts_nothing_that_its_successor_runs() {
    for offset in 0..20 {
        let mut world = led_world(2, &["s1", "s2"]);
        // The servers are full, so the job waits in the first pool.
        world.submit(0, &ticket("filling", 4, LONG), truth(LONG));
        let mut patient = ticket("job", 1, LONG);
        let mut spec = (*patient.spec).clone();
        spec.target_latency_ms = 10_000;
        patient.spec = Arc::new(spec);
        patient.time_to_deadline = ms(20_000);
        world.submit(0, &patient, truth(LONG));
        world.run_until(ms(120));
        world.pause(0);
        world.run_until(ms(2_300));
        world.lead(1);
        let again = job_model::JobTicket {
            may_have_started: true,
            ..patient
        };
        // The first server is full, so the job runs on the one that answers claims last.
        world.submit(1, &ticket("blocker", 2, LONG), truth(SHORT));
        world.submit(1, &again, truth(LONG));
        world.run_until(ms(2_500 + offset * 10));
        world.resume(0);
        let later = world.now() + ms(30);
        world.run_until(later);
        world.step_down(1);
        world.lead(0);
        world.submit(0, &again, truth(LONG));
        world.run_until(ms(9_000));
        assert_eq!(world.violations, [], "offset {offset}");
    }
}

#[test]
fn a_new_leader_with_a_doubtful_registry_starts_no_task_twice() {
    let mut world = led_world(2, &["s1", "s2"]);
    world.submit(0, &ticket("job", 1, LONG), truth(LONG));
    world.run_until(ms(200));
    assert_eq!(world.server_mut("s1").used_cpu_millis(), 7_000);
    world.pause(0);
    // The entry of the server that runs the job has lapsed and isn't back yet.
    world.pools[1].remove_registry_entry("s1");
    world.pools[1].mark_registry_incomplete(ms(2_800));
    world.lead(1);
    let again = job_model::JobTicket {
        may_have_started: true,
        ..ticket("job", 1, LONG)
    };
    world.submit(1, &again, truth(LONG));
    world.run_until(ms(5_000));
    assert_eq!(world.violations, []);
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::Completed]);
}

#[test]
fn runs_that_nobody_asks_for_are_stopped() {
    let mut world = led_world(2, &["s1"]);
    world.submit(
        0,
        &ticket("job", 2, LONG),
        truth(time::Duration::from_secs(4)),
    );
    world.run_until(ms(300));
    world.pause(0);
    world.lead(1);
    world.run_until(ms(1_000));
    assert_eq!(world.server_mut("s1").used_cpu_millis(), 0);
}

#[test]
fn a_frozen_owner_that_wakes_gives_its_servers_up() {
    let mut world = led_world(2, &["s1", "s2"]);
    world.submit(0, &ticket("job", 1, SHORT), truth(SHORT));
    world.run_until(ms(150));
    world.pause(0);
    world.run_until(ms(900));
    world.lead(1);
    world.submit(1, &ticket("other", 2, SHORT), truth(SHORT));
    world.run_until(ms(3_500));
    world.resume(0);
    world.submit(0, &ticket("stale", 1, SHORT), truth(SHORT));
    world.run_until(ms(6_000));
    assert_eq!(world.violations, []);
    assert_eq!(ends(&world, "other"), [job_model::JobEnd::Completed]);
    // It steps down by itself, before a server has turned it away.
    for server in ["s1", "s2"] {
        let standing = world.pools[0].claim_state(server);
        assert_eq!(standing, Some(server_slot::ClaimState::Unclaimed));
    }
}

#[test]
fn an_unanswered_start_is_settled_by_a_new_claim_and_can_not_act_later() {
    let mut world = led_world(1, &["s1", "s2"]);
    for name in ["s1", "s2"] {
        world.server_mut(name).mode = fake_server::ServerMode::DelayedStarts(ms(2_000));
    }
    world.submit(0, &ticket("job", 1, SHORT), truth(SHORT));
    world.run_until(ms(5_000));
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(world.violations, []);
    assert!(noted(&world, pool_action::DecisionKind::Suspect) >= 1);
}

#[test]
fn a_task_on_a_silent_server_starts_elsewhere_only_after_its_lease() {
    let mut world = led_world(1, &["s1", "s2"]);
    world.server_mut("s2").entry.draining = true;
    world.update_registry_entry(0, "s2");
    world.submit(0, &ticket("job", 1, LONG), truth(LONG));
    world.run_until(ms(200));
    assert_eq!(world.server_mut("s1").used_cpu_millis(), 7_000);
    world.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    let entry = &mut world.server_mut("s2").entry;
    entry.draining = false;
    entry.sequence += 1;
    world.update_registry_entry(0, "s2");
    world.run_until(ms(700));
    assert_eq!(
        world.server_mut("s2").used_cpu_millis(),
        0,
        "the lease is not over yet"
    );
    world.run_until(ms(4_000));
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(world.violations, []);
    assert_eq!(noted(&world, pool_action::DecisionKind::LeasesExpired), 1);
}

#[test]
fn a_reborn_server_has_none_of_the_runs_of_its_former_life() {
    let mut world = led_world(1, &["s1", "s2"]);
    world.submit(0, &ticket("job", 3, LONG), truth(LONG));
    world.run_until(ms(300));
    let now = world.now();
    world.server_mut("s1").restart(now);
    world.run_until(ms(5_000));
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(noted(&world, pool_action::DecisionKind::Restarted), 1);
    assert_eq!(world.violations, []);
}

#[test]
fn a_draining_server_gets_no_new_task() {
    let mut world = led_world(1, &["s1", "s2"]);
    let entry = &mut world.server_mut("s1").entry;
    entry.draining = true;
    entry.sequence += 1;
    world.update_registry_entry(0, "s1");
    world.submit(0, &ticket("job", 4, SHORT), truth(SHORT));
    world.run_until(ms(250));
    assert_eq!(world.server_mut("s1").used_cpu_millis(), 0);
    assert_eq!(world.server_mut("s2").used_cpu_millis(), 14_000);
}

#[test]
fn a_stale_entry_does_not_undo_a_drain() {
    let mut world = led_world(1, &["s1"]);
    let entry = &mut world.server_mut("s1").entry;
    entry.draining = true;
    entry.sequence += 2;
    world.update_registry_entry(0, "s1");
    let entry = &mut world.server_mut("s1").entry;
    entry.draining = false;
    entry.sequence -= 1;
    world.update_registry_entry(0, "s1");
    world.submit(0, &ticket("job", 1, SHORT), truth(SHORT));
    world.run_until(ms(400));
    assert_eq!(noted(&world, pool_action::DecisionKind::Placed), 0);
}

#[test]
fn a_refused_job_has_run_nowhere() {
    let mut world = led_world(1, &["s1"]);
    for number in 0..20 {
        world.submit(
            0,
            &ticket(&format!("job{number:02}"), 2, SHORT),
            truth(SHORT),
        );
    }
    world.run_until(ms(6_000));
    let refused = world
        .outcomes
        .iter()
        .filter(|outcome| matches!(outcome.end, job_model::JobEnd::Refused { .. }))
        .count();
    assert!(refused > 0, "a queue of ten times the room refuses");
    assert_eq!(world.outcomes.len(), 20);
    assert_eq!(world.violations, []);
}

#[test]
fn a_hopeless_job_is_refused_at_once_with_a_time_to_come_back() {
    let mut world = led_world(1, &["s1"]);
    for number in 0..20 {
        world.submit(
            0,
            &ticket(&format!("job{number:02}"), 2, SHORT),
            truth(SHORT),
        );
    }
    let refusals: Vec<_> = world
        .outcomes
        .iter()
        .filter(|outcome| outcome.at == world.now())
        .collect();
    assert!(!refusals.is_empty());
    for outcome in refusals {
        let job_model::JobEnd::Refused { retry_after, .. } = outcome.end else {
            panic!("{outcome:?} at the time of its arrival");
        };
        assert!(retry_after >= SHORT, "one run has to end first");
    }
}

#[test]
fn a_job_that_no_server_can_run_is_refused() {
    let mut world = led_world(1, &["s1"]);
    let mut job = ticket("job", 1, SHORT);
    let mut spec = (*job.spec).clone();
    spec.steps[0].cpu_millis = 20_000;
    job.spec = Arc::new(spec);
    world.submit(0, &job, truth(SHORT));
    assert!(matches!(
        ends(&world, "job")[..],
        [job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::NoSuitableServer,
            ..
        }]
    ));
}

#[test]
fn an_offer_for_now_is_refused_where_it_would_wait() {
    let mut world = led_world(1, &["s1"]);
    world.submit(0, &ticket("first", 2, SHORT), truth(SHORT));
    let second = job_model::JobTicket {
        terms: job_model::OfferTerms::AtOnce,
        ..ticket("second", 1, SHORT)
    };
    world.submit(0, &second, truth(SHORT));
    assert!(matches!(
        ends(&world, "second")[..],
        [job_model::JobEnd::Refused { .. }]
    ));
    let useful = ticket("second", 1, SHORT);
    world.submit(0, &useful, truth(SHORT));
    world.run_until(ms(1_000));
    assert_eq!(
        ends(&world, "second").last(),
        Some(&job_model::JobEnd::Completed)
    );
}

#[test]
fn a_job_sent_again_reaches_the_run_that_is_there() {
    let mut world = led_world(1, &["s1", "s2"]);
    world.submit(0, &ticket("job", 2, SHORT), truth(SHORT));
    world.run_until(ms(150));
    world.submit(0, &ticket("job", 2, SHORT), truth(SHORT));
    world.run_until(ms(1_000));
    assert_eq!(
        ends(&world, "job"),
        [job_model::JobEnd::Completed, job_model::JobEnd::Completed]
    );
    assert_eq!(noted(&world, pool_action::DecisionKind::Placed), 2);
}

#[test]
fn a_task_that_always_fails_ends_its_job_after_the_allowed_attempts() {
    let mut world = led_world(1, &["s1", "s2", "s3"]);
    let poisoned = fake_server::TaskProfile {
        always_fails: true,
        ..truth(SHORT)
    };
    world.submit(0, &ticket("job", 1, SHORT), poisoned);
    world.run_until(ms(2_000));
    assert_eq!(
        ends(&world, "job"),
        [job_model::JobEnd::Failed(
            job_model::FailureReason::AttemptsExhausted
        )]
    );
    assert_eq!(noted(&world, pool_action::DecisionKind::Placed), 2);
}

#[test]
fn a_server_that_fails_all_is_taken_out_and_others_serve() {
    let mut world = led_world(1, &["s1", "s2", "s3"]);
    world.server_mut("s1").mode = fake_server::ServerMode::Failing;
    for number in 0..30 {
        world.submit(0, &ticket(&format!("job{number}"), 1, SHORT), truth(SHORT));
        let later = world.now() + ms(120);
        world.run_until(later);
    }
    world.run_until(ms(8_000));
    assert!(noted(&world, pool_action::DecisionKind::Ejected) >= 1);
    let completed = world
        .outcomes
        .iter()
        .filter(|outcome| outcome.end == job_model::JobEnd::Completed)
        .count();
    assert_eq!(completed, 30, "{:?}", world.outcomes);
}

#[test]
fn a_run_without_progress_is_moved() {
    let mut world = led_world(1, &["s1", "s2"]);
    world.server_mut("s1").mode = fake_server::ServerMode::Hanging;
    world.submit(0, &ticket("job", 1, SHORT), truth(SHORT));
    world.run_until(ms(4_000));
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(world.violations, []);
}

#[test]
fn a_withdrawn_job_is_stopped() {
    let mut world = led_world(1, &["s1"]);
    world.submit(0, &ticket("job", 2, LONG), truth(LONG));
    world.run_until(ms(200));
    assert_eq!(world.server_mut("s1").used_cpu_millis(), 14_000);
    world.withdraw(0, "job");
    world.run_until(ms(260));
    assert_eq!(world.server_mut("s1").used_cpu_millis(), 0);
}

#[test]
fn a_pool_that_steps_down_leaves_its_jobs_to_the_next_leader() {
    let mut world = led_world(2, &["s1"]);
    world.submit(0, &ticket("job", 1, LONG), truth(LONG));
    world.run_until(ms(200));
    world.step_down(0);
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::PoolLost]);
    world.lead(1);
    let job = job_model::JobTicket {
        may_have_started: true,
        ..ticket("job", 1, LONG)
    };
    world.submit(1, &job, truth(LONG));
    world.run_until(ms(1_200));
    assert_eq!(
        ends(&world, "job").last(),
        Some(&job_model::JobEnd::Completed)
    );
    assert_eq!(noted(&world, pool_action::DecisionKind::Placed), 1);
    assert_eq!(world.violations, []);
}

#[test]
fn a_long_task_waits_for_a_fast_server() {
    let mut slow = server("slow");
    slow.slowdown_factor = 1.7;
    slow.entry.labels = smallvec::smallvec![Arc::from("b")];
    let mut fast = server("fast");
    fast.slowdown_factor = 0.7;
    let mut world = pool_simulation::PoolSimulation::new(
        1,
        vec![fast, slow],
        settings::PoolPolicies::default(),
    );
    world.lead(0);
    world.run_until(ms(100));
    // Both paces are learnt from short tasks.
    for number in 0..60 {
        world.submit(
            0,
            &ticket(&format!("warm{number}"), 4, ms(50)),
            truth(ms(50)),
        );
        let later = world.now() + ms(130);
        world.run_until(later);
    }
    world.submit(0, &ticket("first", 2, LONG), truth(LONG));
    let later = world.now() + ms(50);
    world.run_until(later);
    world.submit(0, &ticket("second", 1, LONG), truth(LONG));
    let begun = world.now();
    world.run_until(begun + ms(3_000));
    assert_eq!(ends(&world, "second"), [job_model::JobEnd::Completed]);
    let placed_on_slow = world.decisions.iter().any(|(at, note)| {
        *at >= begun
            && note.kind == pool_action::DecisionKind::Placed
            && note.request.as_deref() == Some("second.0.0.0")
            && note.server.as_deref() == Some("slow")
    });
    assert!(!placed_on_slow);
}

#[test]
fn steps_run_in_the_order_of_their_dependencies() {
    let mut world = led_world(1, &["s1", "s2"]);
    let mut job = ticket("job", 2, SHORT);
    let mut spec = (*job.spec).clone();
    let mut second = spec.steps[0].clone();
    second.depends_on = smallvec::smallvec![0];
    spec.steps.push(second);
    job.spec = Arc::new(spec);
    world.submit(0, &job, truth(SHORT));
    world.run_until(ms(250));
    let early = world.decisions.iter().any(|(_, note)| {
        note.kind == pool_action::DecisionKind::Placed
            && note
                .request
                .as_deref()
                .is_some_and(|name| name.starts_with("job.0.1."))
    });
    assert!(!early);
    world.run_until(ms(1_500));
    assert_eq!(ends(&world, "job"), [job_model::JobEnd::Completed]);
}

#[test]
fn the_patterns_are_drawn_alike_each_time() {
    let spec = cuminkeel_replay::replay_report::worst_pattern_specs(11)[0];
    let (first, second) = (load_pattern::draw(&spec), load_pattern::draw(&spec));
    assert_eq!(first.arrivals.len(), second.arrivals.len());
}

#[test]
fn a_late_job_of_which_tasks_have_run_is_finished_first() {
    let mut world = led_world(1, &["s1"]);
    // Two of its four tasks fit at a time, so it is late before the others can start.
    world.submit(0, &ticket("begun", 4, SHORT), truth(SHORT));
    world.run_until(ms(250));
    world.submit(0, &ticket("fresh", 2, SHORT), truth(SHORT));
    world.run_until(ms(3_000));
    let ended = |job: &str| {
        let outcome = world.outcomes.iter().find(|outcome| &*outcome.job == job);
        let outcome = outcome.expect("an end");
        assert_eq!(outcome.end, job_model::JobEnd::Completed, "{job}");
        outcome.at
    };
    assert!(
        ended("begun") < ended("fresh"),
        "{:?} and {:?}",
        ended("begun"),
        ended("fresh")
    );
}

#[test]
fn an_owner_that_lost_touch_is_turned_away_by_its_successors_claim() {
    let mut world = led_world(2, &["s1"]);
    world.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    // It claims again and again meanwhile, by single steps.
    world.run_until(ms(2_000));
    let epoch = world.pools[0].epoch();
    world.pools[1].observe_epoch(epoch);
    world.server_mut("s1").mode = fake_server::ServerMode::Healthy;
    world.lead(1);
    world.run_until(ms(3_500));
    let standing = |pool: usize| world.pools[pool].claim_state("s1");
    assert_eq!(standing(0), Some(server_slot::ClaimState::Unclaimed));
    assert_eq!(standing(1), Some(server_slot::ClaimState::Held));
    assert!(world.lost_servers.iter().any(|(pool, _)| *pool == 0));
}
