//! Callers send a job again some time after it has ended without a result, at any process of any failure
//! domain. No run of the earlier attempt may be left by then, whatever orders stay unanswered.

use std::{collections::BTreeSet, ops, sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership, pool_action, settings};
use cuminkeel_replay::{fake_server, pool_simulation};
use rand::{SeedableRng, rngs};

use crate::fixtures;

/// Time after which callers send a job again.
const RETRANSMIT_TIME: time::Duration = time::Duration::from_millis(1_300);
/// Time to the deadline of a job that does not end in time.
const DEADLINE: time::Duration = time::Duration::from_millis(1_500);
/// Run that is in progress at [`DEADLINE`] and after the caller's return.
const OVERLONG_RUN: time::Duration = time::Duration::from_millis(3_600);
/// Run of the jobs beside which an overlong run is to be stopped.
const NEIGHBOUR_RUN: time::Duration = time::Duration::from_secs(6);
/// Latest end of a simulated test.
const SIMULATION_END: time::Duration = time::Duration::from_secs(14);

/// First and next leader of the first failure domain, and leader of the second one.
const FIRST_LEADER: usize = 0;
const NEXT_LEADER: usize = 1;
const OTHER_DOMAIN: usize = 2;

/// How a job ends without a result.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// Its deadline passes.
    Expiry,
    /// Its caller has left, so its coordinator withdraws it.
    Withdrawal,
}

/// Creates two failure domains at 100 ms: one with the given servers and two pools, of which the first
/// leads, and one with the server `b1` and a pool.
fn two_domains(servers: &[&str]) -> pool_simulation::PoolSimulation {
    let other_domain = ["b1"];
    let all_servers = servers.iter().chain(&other_domain);
    let mut simulation = pool_simulation::PoolSimulation::new(
        3,
        all_servers.map(|name| fixtures::server(name)).collect(),
        settings::PoolPolicies::default(),
    );
    for (pool_index, foreign) in [
        (FIRST_LEADER, &other_domain[..]),
        (NEXT_LEADER, &other_domain[..]),
        (OTHER_DOMAIN, servers),
    ] {
        for server in foreign {
            simulation.pools[pool_index].remove_registry_entry(server);
        }
    }
    simulation.lead(FIRST_LEADER);
    simulation.lead(OTHER_DOMAIN);
    simulation.run_until(fixtures::ms(100));
    simulation
}

/// Returns the offer of a job that is estimated to end before its deadline.
fn overlong_offer(task_count: u16) -> job_model::JobOffer {
    job_model::JobOffer {
        time_to_deadline: DEADLINE,
        ..fixtures::offer("job", task_count, fixtures::LONG_RUN)
    }
}

/// Returns the offer of a job that takes [`NEIGHBOUR_RUN`].
fn neighbour_offer(id: &str) -> job_model::JobOffer {
    job_model::JobOffer {
        time_to_deadline: fixtures::ms(12_000),
        ..fixtures::offer(id, 1, NEIGHBOUR_RUN)
    }
}

fn submit_overlong(
    simulation: &mut pool_simulation::PoolSimulation,
    pool_index: usize,
    task_count: u16,
) {
    simulation.submit(
        pool_index,
        &overlong_offer(task_count),
        fixtures::task_profile(OVERLONG_RUN),
    );
}

fn submit_neighbour(
    simulation: &mut pool_simulation::PoolSimulation,
    pool_index: usize,
    offer: &job_model::JobOffer,
) {
    simulation.submit(pool_index, offer, fixtures::task_profile(NEIGHBOUR_RUN));
}

/// Lets a pool claim the servers `wanted` and release all others.
fn claim(simulation: &mut pool_simulation::PoolSimulation, pool_index: usize, wanted: &[&str]) {
    let wanted: BTreeSet<Arc<str>> = wanted.iter().map(|server| Arc::from(*server)).collect();
    let now = simulation.now();
    simulation.pools[pool_index].reconcile_claims(&wanted, leadership::ShardSet::ALL, now);
    simulation.pools[pool_index].record_registry_read(now);
    // Withdrawing an unknown job changes nothing; it makes the simulation send the claims.
    simulation.withdraw(pool_index, "no such job");
}

/// Returns a rule by which all stops that reach `server` in `arrival` are left unanswered and carried out after
/// `delay`.
fn late_stops(
    server: &str,
    arrival: ops::Range<time::Duration>,
    delay: time::Duration,
) -> pool_simulation::LateOrderRule {
    pool_simulation::LateOrderRule {
        kinds: vec![pool_simulation::OrderKind::Stop],
        pool_index: None,
        server: Some(Arc::from(server)),
        arrival,
        share: 1.0,
        delay: delay..=delay,
        rng: rngs::StdRng::seed_from_u64(0),
    }
}

fn has_run(simulation: &mut pool_simulation::PoolSimulation, server: &str, job: &str) -> bool {
    let server = simulation.server_mut(server);
    server.runs.keys().any(|task| &*task.job == job)
}

/// Returns the time of the latest end of a run of `job`; the present time if one is in progress.
fn latest_run_end(simulation: &pool_simulation::PoolSimulation, job: &str) -> time::Duration {
    let is_in_progress =
        |server: &fake_server::FakeServer| server.runs.keys().any(|task| &*task.job == job);
    if simulation.servers.values().any(is_in_progress) {
        return simulation.now();
    }
    simulation
        .servers
        .values()
        .flat_map(|server| &server.history)
        .filter(|run| &*run.task.job == job)
        .map(|run| run.ended_at)
        .max()
        .expect("the job should have run")
}

/// Asserts that all runs of `job`, which its caller was told at `ended_at` to have failed, are over when
/// the caller sends it again.
fn assert_over_when_caller_returns(
    simulation: &pool_simulation::PoolSimulation,
    job: &str,
    ended_at: time::Duration,
    case: &str,
) {
    let left_for = latest_run_end(simulation, job).saturating_sub(ended_at);
    assert!(
        left_for <= RETRANSMIT_TIME,
        "{case}: a run of {job} was left for {left_for:?} after its end at {ended_at:?}"
    );
}

impl Ending {
    /// Returns the time at which a job that was sent at 100 ms ends.
    fn due_at(self) -> time::Duration {
        match self {
            Self::Expiry => fixtures::ms(100) + DEADLINE,
            Self::Withdrawal => fixtures::ms(1_000),
        }
    }
}

/// Ends the overlong job, which the first leader runs, and returns the time of its end.
fn end_overlong(
    simulation: &mut pool_simulation::PoolSimulation,
    ending: Ending,
) -> time::Duration {
    simulation.run_until(ending.due_at());
    match ending {
        Ending::Expiry => {
            while fixtures::job_ends(simulation, "job").is_empty() {
                let next = simulation.now() + fixtures::ms(1);
                simulation.run_until(next);
            }
            assert_eq!(
                fixtures::job_ends(simulation, "job"),
                [job_model::JobEnd::Failed(
                    job_model::FailureReason::OutOfTime
                )]
            );
        }
        Ending::Withdrawal => simulation.withdraw(FIRST_LEADER, "job"),
    }
    simulation.now()
}

/// A server leaves the first stop of a run unanswered and carries it out late, when a newer claim fences it,
/// while holds renew the lease of the run with that of another job's. The run would go on to its end. The
/// other job is not disturbed, as further stops are answered.
#[test]
fn stop_that_a_server_leaves_unanswered_is_sent_again() {
    for ending in [Ending::Expiry, Ending::Withdrawal] {
        let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
        // The first stop arrives within this time.
        let arrival = ending.due_at()..ending.due_at() + fixtures::ms(100);
        let rule = late_stops("s1", arrival, fixtures::ms(6_000));
        simulation.late_order_rules.push(rule);
        submit_neighbour(&mut simulation, FIRST_LEADER, &neighbour_offer("neighbour"));
        submit_overlong(&mut simulation, FIRST_LEADER, 1);
        simulation.run_until(fixtures::ms(900));
        assert!(has_run(&mut simulation, "s1", "job"));
        let ended_at = end_overlong(&mut simulation, ending);
        simulation.run_until(SIMULATION_END);
        let case = format!("{ending:?}");
        assert_over_when_caller_returns(&simulation, "job", ended_at, &case);
        assert_eq!(
            fixtures::job_ends(&simulation, "neighbour"),
            [job_model::JobEnd::Completed],
            "{case}"
        );
    }
}

/// A server leaves all stops unanswered for 5 s and carries them out late, while it answers all holds. Only a
/// lease that isn't renewed ends the run in time.
#[test]
fn run_of_an_ended_job_whose_stops_stay_unanswered_is_over_when_the_caller_returns() {
    for ending in [Ending::Expiry, Ending::Withdrawal] {
        let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
        let rule = late_stops(
            "s1",
            time::Duration::ZERO..fixtures::ms(6_600),
            fixtures::ms(6_000),
        );
        simulation.late_order_rules.push(rule);
        submit_neighbour(&mut simulation, FIRST_LEADER, &neighbour_offer("neighbour"));
        submit_overlong(&mut simulation, FIRST_LEADER, 1);
        simulation.run_until(fixtures::ms(900));
        assert!(has_run(&mut simulation, "s1", "job"));
        let ended_at = end_overlong(&mut simulation, ending);
        simulation.run_until(SIMULATION_END);
        assert_over_when_caller_returns(&simulation, "job", ended_at, &format!("{ending:?}"));
    }
}

/// The registry has lost the entry of a server that can't reach the store. Its leader keeps its runs for a
/// while, and is lost. The next leader doesn't know the server.
#[test]
fn run_on_a_server_without_a_registry_entry_does_not_overlap_after_the_leader_is_lost() {
    let mut failed_cases = Vec::new();
    for may_have_started in [true, false] {
        for lost_after_ms in [10, 500, 1_000, 1_500, 2_000, 2_590, 2_610, 3_000, 5_000] {
            // The standby learns of the removal by up to one interval of the leader's reads earlier.
            for leader_delay_ms in [0, 600] {
                let violations =
                    run_on_unlisted_server(may_have_started, lost_after_ms, leader_delay_ms, false);
                if !violations.is_empty() {
                    failed_cases.push((may_have_started, lost_after_ms, leader_delay_ms));
                }
            }
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "(whether offered as started, loss in ms after the removal, delay of the leader's read) with overlaps"
    );
}

/// Returns the broken rules if the leader is lost `lost_after_ms` after the removal of the entry of a server
/// with a run, of which the leader has learnt `leader_delay_ms` later than the next one. The last entry that the
/// next leader read may be an old one, which says that the server drains.
fn run_on_unlisted_server(
    may_have_started: bool,
    lost_after_ms: u64,
    leader_delay_ms: u64,
    was_read_as_draining: bool,
) -> Vec<pool_simulation::InvariantViolation> {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    let job = neighbour_offer("job");
    submit_neighbour(&mut simulation, 0, &job);
    simulation.run_until(fixtures::ms(1_000));
    let server_with_run = ["s1", "s2"]
        .into_iter()
        .find(|server| has_run(&mut simulation, server, "job"))
        .expect("the leader should have started the job");
    if was_read_as_draining {
        let now = simulation.now();
        let mut entry = simulation.server_mut(server_with_run).entry.clone();
        entry.draining = true;
        simulation.pools[1].apply_registry_entry(entry, now);
    }
    let lost_at = fixtures::ms(1_000 + lost_after_ms);
    for (pool_index, removed_at) in [
        (1, fixtures::ms(1_000)),
        (0, fixtures::ms(1_000 + leader_delay_ms)),
    ] {
        simulation.run_until(removed_at.min(lost_at));
        let now = simulation.now();
        simulation.pools[pool_index].tick(now);
        simulation.pools[pool_index].remove_registry_entry(server_with_run);
        // As a process does when an entry is gone, unless the server drained.
        if pool_index == 0 || !was_read_as_draining {
            simulation.pools[pool_index]
                .mark_registry_incomplete(removed_at + settings::REREGISTRATION_GRACE);
        }
    }
    simulation.run_until(lost_at);
    simulation.pause(0);
    simulation.run_until(lost_at + fixtures::ms(10));
    simulation.lead(1);
    let offered_again = job_model::JobOffer {
        may_have_started,
        sent_at: simulation.now(),
        ..job
    };
    submit_neighbour(&mut simulation, 1, &offered_again);
    simulation.run_until(SIMULATION_END);
    simulation.violations
}

/// A job ends at its deadline in one failure domain, and its caller sends it again in another one, whose pool
/// can't know of the run that a server of the first one has not stopped.
#[test]
fn job_sent_again_in_another_domain_does_not_run_beside_a_run_whose_stop_is_late() {
    let mut failed_cases = Vec::new();
    for late_for_ms in [0, 100, 5_000] {
        for delay_ms in [500, 1_600, 2_000, 6_000] {
            let mut simulation = two_domains(&["a1"]);
            let until = Ending::Expiry.due_at() + fixtures::ms(late_for_ms);
            let rule = late_stops("a1", time::Duration::ZERO..until, fixtures::ms(delay_ms));
            simulation.late_order_rules.push(rule);
            submit_neighbour(&mut simulation, FIRST_LEADER, &neighbour_offer("neighbour"));
            submit_overlong(&mut simulation, FIRST_LEADER, 1);
            let ended_at = end_overlong(&mut simulation, Ending::Expiry);
            simulation.run_until(ended_at + RETRANSMIT_TIME);
            submit_overlong(&mut simulation, OTHER_DOMAIN, 1);
            simulation.run_until(SIMULATION_END);
            if !simulation.violations.is_empty() {
                failed_cases.push((late_for_ms, delay_ms));
            }
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "(ms after the deadline in which stops are late, their delay in ms) with overlapping runs"
    );
}

/// The leader is lost at the deadline of a job, so that nobody has stopped its run. The next leader adopts the
/// run of another job on the same server, and renews the leases of both. Its stop stays unanswered.
#[test]
fn job_sent_again_in_another_domain_does_not_run_beside_a_run_that_the_next_leader_keeps() {
    let mut failed_cases = Vec::new();
    for is_stop_late in [false, true] {
        // A killed leader is replaced at once, a frozen one when it has been silent for 0.6 s.
        for takeover_after_ms in [5, 200, 600, 700] {
            let mut simulation = two_domains(&["a1", "a2"]);
            if is_stop_late {
                let rule = late_stops(
                    "a1",
                    time::Duration::ZERO..fixtures::ms(6_600),
                    fixtures::ms(6_000),
                );
                simulation.late_order_rules.push(rule);
            }
            let neighbour = neighbour_offer("neighbour");
            submit_neighbour(&mut simulation, FIRST_LEADER, &neighbour);
            submit_overlong(&mut simulation, FIRST_LEADER, 1);
            simulation.run_until(fixtures::ms(98) + DEADLINE);
            assert!(has_run(&mut simulation, "a1", "job"));
            assert!(has_run(&mut simulation, "a1", "neighbour"));
            simulation.pause(FIRST_LEADER);
            // The coordinator answers 504.
            let ended_at = simulation.now();
            simulation.run_until(ended_at + fixtures::ms(takeover_after_ms));
            simulation.lead(NEXT_LEADER);
            let offered_again = job_model::JobOffer {
                may_have_started: true,
                ..neighbour
            };
            submit_neighbour(&mut simulation, NEXT_LEADER, &offered_again);
            simulation.run_until(ended_at + RETRANSMIT_TIME);
            submit_overlong(&mut simulation, OTHER_DOMAIN, 1);
            simulation.run_until(SIMULATION_END);
            if !simulation.violations.is_empty() {
                failed_cases.push((is_stop_late, takeover_after_ms));
            }
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "(whether stops are late, takeover in ms after the loss) with overlapping runs"
    );
}

/// Leaders are lost one after the other, each before the grace period of inherited runs is over. Each adopts
/// the run of another job on the same server, whose leases it would renew with those of the run that nobody
/// waits for.
#[test]
fn run_of_an_ended_job_is_not_kept_beside_another_by_leaders_that_follow_each_other() {
    let mut simulation = fixtures::simulation_with_leader(3, &["s1", "s2"]);
    let neighbour = neighbour_offer("neighbour");
    submit_neighbour(&mut simulation, 0, &neighbour);
    submit_overlong(&mut simulation, 0, 1);
    simulation.run_until(fixtures::ms(1_000));
    assert!(has_run(&mut simulation, "s1", "job"));
    assert!(has_run(&mut simulation, "s1", "neighbour"));
    simulation.pause(0);
    // The coordinator answers 502.
    let ended_at = simulation.now();
    // The first leader is frozen, and replaced when it has been silent for 0.6 s; the next one is killed.
    simulation.run_until(ended_at + fixtures::ms(600));
    for (leader, lost_after_ms) in [(1, 950), (2, 10_000)] {
        simulation.lead(leader);
        let offered_again = job_model::JobOffer {
            may_have_started: true,
            ..neighbour.clone()
        };
        submit_neighbour(&mut simulation, leader, &offered_again);
        simulation.run_until(ended_at + fixtures::ms(lost_after_ms));
        simulation.pause(leader);
    }
    assert_over_when_caller_returns(&simulation, "job", ended_at, "");
}

/// Another pool claims one of the servers of a job, which the first pool abandons. Its run on the other server
/// is stopped after the grace period, but the stop stays unanswered and holds for another job renew its lease.
#[test]
fn run_of_an_abandoned_job_whose_stop_is_late_is_over_when_the_caller_returns() {
    let mut failed_cases = Vec::new();
    for is_stop_late in [false, true] {
        let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
        if is_stop_late {
            let rule = late_stops(
                "s1",
                time::Duration::ZERO..fixtures::ms(8_000),
                fixtures::ms(6_000),
            );
            simulation.late_order_rules.push(rule);
        }
        submit_neighbour(&mut simulation, 0, &neighbour_offer("neighbour"));
        simulation.run_until(fixtures::ms(110));
        assert!(has_run(&mut simulation, "s1", "neighbour"));
        submit_overlong(&mut simulation, 0, 2);
        simulation.run_until(fixtures::ms(1_000));
        for server in ["s1", "s2"] {
            assert!(has_run(&mut simulation, server, "job"));
        }
        claim(&mut simulation, 1, &["s2"]);
        while fixtures::job_ends(&simulation, "job").is_empty() {
            let next = simulation.now() + fixtures::ms(1);
            simulation.run_until(next);
        }
        // The coordinator answers 502.
        assert_eq!(
            fixtures::job_ends(&simulation, "job"),
            [job_model::JobEnd::PoolLost]
        );
        let ended_at = simulation.now();
        simulation.run_until(SIMULATION_END);
        let left_for = latest_run_end(&simulation, "job").saturating_sub(ended_at);
        if left_for > RETRANSMIT_TIME {
            failed_cases.push((is_stop_late, left_for));
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "(whether stops are late, time for which a run was left)"
    );
}

/// Returns the overlong job, offered by another process over a connection at the present time.
fn offer_of_another_process(simulation: &pool_simulation::PoolSimulation) -> job_model::JobOffer {
    job_model::JobOffer {
        session: job_model::OfferSession(1),
        sent_at: simulation.now(),
        time_to_deadline: fixtures::ms(10_000),
        ..overlong_offer(1)
    }
}

/// Runs the simulation while the process that offers jobs over `session` shows at `interval` that it waits.
fn run_with_signs(
    simulation: &mut pool_simulation::PoolSimulation,
    session: job_model::OfferSession,
    interval: time::Duration,
    until: time::Duration,
) {
    while simulation.now() < until {
        let next = (simulation.now() + interval).min(until);
        simulation.run_until(next);
        simulation.pools[FIRST_LEADER].record_session_sign(session, next);
    }
}

/// The coordinator of a job is lost, and so is its caller's connection. The pool learns of it late, and all
/// stops stay unanswered, while the lease of the server is renewed for another job.
#[test]
fn run_of_a_lost_coordinator_is_over_when_the_caller_returns() {
    for noticed_after_ms in [0, 500, 1_040, 5_000] {
        let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
        let rule = late_stops(
            "s1",
            time::Duration::ZERO..SIMULATION_END,
            fixtures::ms(6_000),
        );
        simulation.late_order_rules.push(rule);
        submit_neighbour(&mut simulation, FIRST_LEADER, &neighbour_offer("neighbour"));
        let offer = offer_of_another_process(&simulation);
        simulation.submit(FIRST_LEADER, &offer, fixtures::task_profile(OVERLONG_RUN));
        let lost_at = fixtures::ms(700);
        run_with_signs(&mut simulation, offer.session, fixtures::ms(150), lost_at);
        simulation.run_until(lost_at + fixtures::ms(noticed_after_ms));
        simulation.withdraw(FIRST_LEADER, "job");
        simulation.run_until(SIMULATION_END);
        let case = format!("noticed after {noticed_after_ms} ms");
        assert_over_when_caller_returns(&simulation, "job", lost_at, &case);
    }
}

/// A run whose coordinator shows at the usual interval that it waits keeps its lease to its end.
#[test]
fn run_of_a_coordinator_in_another_process_lapses_only_without_signs() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    let offer = offer_of_another_process(&simulation);
    simulation.submit(FIRST_LEADER, &offer, fixtures::task_profile(OVERLONG_RUN));
    let interval = fixtures::ms(300);
    run_with_signs(
        &mut simulation,
        offer.session,
        interval,
        fixtures::ms(5_000),
    );
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.server_mut("s1").history.len(), 1);
}

/// The process that received the caller's request is cut off, with the caller. The pool counts its connection as
/// lost up to 1.04 s later. The lease of the run would last for 0.8 s from then on if the stop stays unanswered,
/// and for longer beside another job's run.
#[test]
fn run_of_a_job_whose_coordinator_is_cut_off_is_over_when_the_caller_returns() {
    let mut failed_cases = Vec::new();
    for is_stop_late in [false, true] {
        for has_neighbour in [false, true] {
            let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
            if is_stop_late {
                let arrival = time::Duration::ZERO..fixtures::ms(6_600);
                let rule = late_stops("s1", arrival, fixtures::ms(6_000));
                simulation.late_order_rules.push(rule);
            }
            if has_neighbour {
                submit_neighbour(&mut simulation, 0, &neighbour_offer("neighbour"));
            }
            let job = job_model::JobOffer {
                session: job_model::OfferSession(1),
                sent_at: simulation.now(),
                ..neighbour_offer("job")
            };
            submit_neighbour(&mut simulation, 0, &job);
            let cut_off_at = fixtures::ms(1_000);
            let interval = fixtures::ms(150);
            run_with_signs(&mut simulation, job.session, interval, cut_off_at);
            simulation.run_until(cut_off_at + fixtures::ms(1_040));
            assert!(has_run(&mut simulation, "s1", "job"));
            simulation.withdraw(0, "job");
            simulation.run_until(SIMULATION_END);
            let left_for = latest_run_end(&simulation, "job").saturating_sub(cut_off_at);
            if left_for > RETRANSMIT_TIME {
                failed_cases.push((is_stop_late, has_neighbour, left_for));
            }
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "(whether stops are late, whether another job runs, time for which a run was left)"
    );
}

/// The process that received the caller's request is cut off, with the caller, while the job is queued. The leader
/// is frozen for less time than its peers wait for it, before it counts the connection as lost, and would start the
/// task when it goes on, as the last that it heard of the coordinator is that it waits.
#[test]
fn queued_job_of_a_coordinator_that_is_cut_off_is_not_started_after_a_pause() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    let blocker_run = fixtures::ms(2_100);
    let blocker = fixtures::offer("blocker", 2, blocker_run);
    simulation.submit(0, &blocker, fixtures::task_profile(blocker_run));
    let job = job_model::JobOffer {
        session: job_model::OfferSession(1),
        sent_at: simulation.now(),
        ..neighbour_offer("job")
    };
    submit_neighbour(&mut simulation, 0, &job);
    let cut_off_at = fixtures::ms(1_000);
    let interval = fixtures::ms(150);
    run_with_signs(&mut simulation, job.session, interval, cut_off_at);
    simulation.run_until(cut_off_at + fixtures::ms(1_030));
    assert!(!has_run(&mut simulation, "s1", "job"));
    simulation.pause(0);
    simulation.run_until(cut_off_at + fixtures::ms(1_410));
    simulation.resume(0);
    simulation.run_until(cut_off_at + fixtures::ms(1_450));
    simulation.withdraw(0, "job");
    simulation.run_until(SIMULATION_END);
    let late_start = simulation
        .server_mut("s1")
        .history
        .iter()
        .filter(|run| &*run.task.job == "job")
        .map(|run| run.started_at.saturating_sub(cut_off_at))
        .find(|after| *after > RETRANSMIT_TIME);
    assert_eq!(
        late_start, None,
        "start of the task after the coordinator was cut off"
    );
}

/// A leader gets no answer from one server, as only its path to that server is cut. Another leader claims the
/// server and is offered the job of one of its two runs, so that it renews the leases of both. The first leader would
/// start the task of the other run elsewhere when the leases that it remembers have expired.
#[test]
fn task_of_a_silent_server_is_not_started_beside_its_run_whose_lease_another_leader_renews() {
    let mut failed_cases = Vec::new();
    for is_stop_late in [false, true] {
        for claim_after_ms in [100, 300, 500, 700] {
            let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
            let cut_at = fixtures::ms(2_000);
            let never = fixtures::ms(3_600_000);
            simulation
                .late_order_rules
                .push(pool_simulation::LateOrderRule {
                    kinds: vec![
                        pool_simulation::OrderKind::Start,
                        pool_simulation::OrderKind::Stop,
                        pool_simulation::OrderKind::Hold,
                    ],
                    pool_index: Some(0),
                    ..late_stops("s1", cut_at..never, never)
                });
            if is_stop_late {
                let rule = late_stops("s1", time::Duration::ZERO..never, never);
                simulation.late_order_rules.push(rule);
            }
            let neighbour = neighbour_offer("neighbour");
            submit_neighbour(&mut simulation, 0, &neighbour);
            submit_neighbour(&mut simulation, 0, &neighbour_offer("job"));
            simulation.run_until(cut_at);
            for job in ["job", "neighbour"] {
                assert!(has_run(&mut simulation, "s1", job));
            }
            simulation.run_until(cut_at + fixtures::ms(claim_after_ms));
            claim(&mut simulation, 1, &["s1"]);
            // The coordinator of this job takes the first leader for lost.
            simulation.withdraw(0, "neighbour");
            let offered_again = job_model::JobOffer {
                may_have_started: true,
                ..neighbour
            };
            submit_neighbour(&mut simulation, 1, &offered_again);
            simulation.run_until(SIMULATION_END);
            if !simulation.violations.is_empty() {
                let violations = std::mem::take(&mut simulation.violations);
                failed_cases.push((is_stop_late, claim_after_ms, violations));
            }
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "(whether stops are late, time of the claim in ms after the cut, violations)"
    );
}

/// A stop is carried out at once and its answer is lost, so that its server is claimed again. The other run on
/// the server would be lost if the pool let its lease expire.
#[test]
fn run_beside_a_stop_whose_answer_is_lost_goes_on() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    let rule = late_stops(
        "s1",
        time::Duration::ZERO..SIMULATION_END,
        time::Duration::ZERO,
    );
    simulation.late_order_rules.push(rule);
    submit_neighbour(&mut simulation, FIRST_LEADER, &neighbour_offer("neighbour"));
    submit_overlong(&mut simulation, FIRST_LEADER, 1);
    simulation.run_until(fixtures::ms(900));
    assert!(has_run(&mut simulation, "s1", "job"));
    let ended_at = end_overlong(&mut simulation, Ending::Withdrawal);
    simulation.run_until(SIMULATION_END);
    assert_over_when_caller_returns(&simulation, "job", ended_at, "answer lost");
    assert_eq!(
        fixtures::job_ends(&simulation, "neighbour"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Placed),
        2
    );
}

/// A coordinator is paused until its connection counts as lost, comes back over a new one and offers its job again
/// before the run of it is stopped. The pool grants the server short leases meanwhile. It has to renew them before
/// they expire, or the runs of all jobs on the server lapse.
#[test]
fn runs_beside_that_of_a_paused_coordinator_keep_their_lease_when_it_returns() {
    let mut failed_cases = Vec::new();
    for paused_after_ms in (1_000..1_400).step_by(20) {
        let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
        submit_neighbour(&mut simulation, FIRST_LEADER, &neighbour_offer("neighbour"));
        let offer = offer_of_another_process(&simulation);
        simulation.submit(FIRST_LEADER, &offer, fixtures::task_profile(OVERLONG_RUN));
        let paused_at = fixtures::ms(paused_after_ms);
        let interval = fixtures::ms(150);
        run_with_signs(&mut simulation, offer.session, interval, paused_at);
        simulation.pools[FIRST_LEADER].record_session_sign(offer.session, paused_at);
        simulation.run_until(paused_at + fixtures::ms(900));
        let offered_again = job_model::JobOffer {
            session: job_model::OfferSession(2),
            may_have_started: true,
            ..offer
        };
        let profile = fixtures::task_profile(OVERLONG_RUN);
        simulation.submit(FIRST_LEADER, &offered_again, profile);
        run_with_signs(
            &mut simulation,
            offered_again.session,
            interval,
            paused_at + fixtures::ms(2_000),
        );
        for job in ["job", "neighbour"] {
            if !has_run(&mut simulation, "s1", job)
                || !simulation.server_mut("s1").history.is_empty()
            {
                failed_cases.push((paused_after_ms, job));
            }
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "(time of the pause in ms, job whose run lapsed)"
    );
}

/// A coordinator gives no sign for a while, so that the leases on the server of its run can't be renewed for as
/// long as a start needs. The task of another job has to get the free server.
#[test]
fn task_is_placed_beside_the_server_whose_leases_a_silent_coordinator_bounds() {
    let mut failed_cases = Vec::new();
    for silent_ms in [0, 500, 700, 800, 850, 900, 950, 1_000] {
        let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
        let offer = offer_of_another_process(&simulation);
        simulation.submit(FIRST_LEADER, &offer, fixtures::task_profile(OVERLONG_RUN));
        let silent_from = fixtures::ms(700);
        run_with_signs(
            &mut simulation,
            offer.session,
            fixtures::ms(150),
            silent_from,
        );
        simulation.run_until(silent_from + fixtures::ms(silent_ms));
        submit_neighbour(&mut simulation, FIRST_LEADER, &neighbour_offer("neighbour"));
        let sent_at = simulation.now();
        simulation.run_until(sent_at + fixtures::ms(30));
        if !["s1", "s2"]
            .into_iter()
            .any(|server| has_run(&mut simulation, server, "neighbour"))
        {
            failed_cases.push(silent_ms);
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "silences in ms after which a task was not started within 30 ms"
    );
}

/// The leader learns later than the next one that a server has lost its registry entry: its read of the store
/// failed once, the failure made it wait for the server to register again, or it is cut off from the store as
/// the server is. It renews the leases until then, and is lost.
#[test]
fn run_on_an_unlisted_server_does_not_overlap_if_the_leader_learns_of_the_removal_late() {
    let mut failed_cases = Vec::new();
    for leader_delay_ms in [1_450, 3_200, 60_000] {
        for lost_after_ms in [2_500, 2_700, 3_000, 5_000, 9_000] {
            let violations = run_on_unlisted_server(true, lost_after_ms, leader_delay_ms, false);
            if !violations.is_empty() {
                failed_cases.push((leader_delay_ms, lost_after_ms));
            }
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "(delay of the leader's read, loss in ms after the removal) with overlaps"
    );
}

/// A server drained, was replaced under its id and lost its new entry, all between two reads of the process that
/// leads next, which takes it for one that has left as it said.
#[test]
fn run_on_a_server_that_the_next_leader_has_read_as_draining_does_not_overlap() {
    let mut failed_cases = Vec::new();
    for lost_after_ms in [10, 200, 500, 1_000, 2_000] {
        let violations = run_on_unlisted_server(true, lost_after_ms, 600, true);
        if !violations.is_empty() {
            failed_cases.push(lost_after_ms);
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "losses in ms after the removal with overlaps"
    );
}
