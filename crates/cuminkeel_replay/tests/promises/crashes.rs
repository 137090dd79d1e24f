//! Tasks that crash the servers that start them, and tasks that only ran beside one.

use cuminkeel_dispatch::{job_model, pool_action, settings};
use cuminkeel_replay::{fake_server, pool_simulation};

use crate::fixtures;

const SERVERS: [&str; 8] = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];

/// Marks the tasks with these indexes of `job` as deadly. A crashed server is in `mode`.
fn mark_deadly(
    simulation: &mut pool_simulation::PoolSimulation,
    job: &str,
    indexes: &[u16],
    mode: fake_server::ServerMode,
) {
    for index in indexes {
        simulation.deadly_tasks.insert(task_name(job, *index), mode);
    }
}

fn task_name(job: &str, index: u16) -> job_model::TaskName {
    job_model::TaskName {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Returns an offer of a job whose caller waits for 12 s.
fn patient_offer(id: &str, task_count: u16) -> job_model::JobOffer {
    let mut offer = fixtures::offer(id, task_count, fixtures::LONG_RUN);
    offer.time_to_deadline = fixtures::ms(12_000);
    let spec = job_model::JobSpec {
        // Leaves time for several losses before the answer has no value any more.
        target_latency_ms: 4_000,
        ..(*offer.spec).clone()
    };
    offer.spec = spec.into();
    offer
}

fn submit(
    simulation: &mut pool_simulation::PoolSimulation,
    pool_index: usize,
    offer: &job_model::JobOffer,
) {
    let profile = fixtures::task_profile(fixtures::LONG_RUN);
    simulation.submit(pool_index, offer, profile);
}

/// Whether `job` had one answer, and it says that the job failed for good.
fn is_given_up(simulation: &pool_simulation::PoolSimulation, job: &str) -> bool {
    matches!(
        fixtures::job_ends(simulation, job)[..],
        [job_model::JobEnd::Failed(reason)]
            if reason != job_model::FailureReason::OutOfTime
                && reason != job_model::FailureReason::PoolLost
    )
}

/// A task crashes each server that starts it, and its caller waits for 12 s. Without a limit, the task
/// is started again each time the leases on a crashed server have expired.
#[test]
fn task_that_crashes_its_servers_is_given_up_after_the_second() {
    for mode in [
        fake_server::ServerMode::Crashed,
        fake_server::ServerMode::Unreachable,
    ] {
        let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
        mark_deadly(&mut simulation, "job", &[0], mode);
        submit(&mut simulation, 0, &patient_offer("job", 3));
        simulation.run_until(fixtures::ms(14_000));
        assert_eq!(simulation.crashes.len(), 2, "{mode:?}");
        assert!(is_given_up(&simulation, "job"), "{mode:?}");
        assert_eq!(simulation.violations, []);
    }
}

/// Deadly tasks crash servers beside a sound one, which loses a run with each. If all tasks of a crashed
/// server counted as its cause, the sound task would be given up.
#[test]
fn sound_task_beside_deadly_ones_is_completed() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS[..4]);
    let deadly_jobs = ["bad1", "bad2", "bad3", "bad4"];
    submit(&mut simulation, 0, &patient_offer("sound", 4));
    for (job, at_ms) in deadly_jobs.into_iter().zip([200, 1_250, 2_300, 3_350]) {
        simulation.run_until(fixtures::ms(at_ms));
        mark_deadly(&mut simulation, job, &[0], fake_server::ServerMode::Crashed);
        submit(&mut simulation, 0, &patient_offer(job, 1));
    }
    simulation.run_until(fixtures::ms(14_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "sound"),
        [job_model::JobEnd::Completed]
    );
    for job in deadly_jobs {
        let crashes = simulation.crashes.iter();
        let count = crashes.filter(|(_, task)| &*task.job == job).count();
        assert!(count <= 2, "{job} crashed {count} servers");
    }
    assert_eq!(simulation.violations, []);
}

/// The leader is lost after the first crash. If its successor counted anew, the task would crash two more
/// servers.
#[test]
fn crash_counts_after_the_leader_is_lost() {
    let mut simulation = fixtures::simulation_with_leader(2, &SERVERS);
    mark_deadly(
        &mut simulation,
        "job",
        &[0],
        fake_server::ServerMode::Crashed,
    );
    let offer = patient_offer("job", 1);
    submit(&mut simulation, 0, &offer);
    simulation.run_until(fixtures::ms(300));
    assert_eq!(simulation.crashes.len(), 1);
    simulation.pause(0);
    simulation.lead(1);
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..offer
    };
    submit(&mut simulation, 1, &resubmitted);
    simulation.run_until(fixtures::ms(14_000));
    assert_eq!(simulation.crashes.len(), 2);
    assert_eq!(simulation.violations, []);
}

/// The leader is lost in the moment in which a trial crashes its server, before it notices the crash.
#[test]
fn crash_of_a_trial_counts_if_the_leader_is_lost_with_its_server() {
    let mut simulation = fixtures::simulation_with_leader(2, &SERVERS);
    let deadly = fake_server::ServerMode::Crashed;
    mark_deadly(&mut simulation, "job", &[0], deadly);
    let offer = patient_offer("job", 1);
    submit(&mut simulation, 0, &offer);
    simulation.run_until(fixtures::ms(300));
    let mut until_ms = 300;
    while simulation
        .servers
        .values()
        .all(|server| server.runs.is_empty())
    {
        until_ms += 1;
        assert!(until_ms < 3_000, "no trial has started");
        simulation.run_until(fixtures::ms(until_ms));
    }
    assert_eq!(simulation.crashes.len(), 1, "the trial goes on");
    simulation.pause(0);
    simulation.run_until(fixtures::ms(until_ms + 100));
    assert_eq!(simulation.crashes.len(), 2);
    simulation.lead(1);
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..offer
    };
    submit(&mut simulation, 1, &resubmitted);
    simulation.run_until(fixtures::ms(14_000));
    assert_eq!(simulation.crashes.len(), 2);
    assert_eq!(simulation.violations, []);
}

/// A trial fails without crashing its server. The next run must not wait for evidence that is there.
#[test]
fn task_whose_trial_fails_is_started_again_at_once() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    let deadly = fake_server::ServerMode::Crashed;
    mark_deadly(&mut simulation, "job", &[0], deadly);
    let mut offer = patient_offer("job", 1);
    let spec = job_model::JobSpec {
        max_attempts: 3,
        ..(*offer.spec).clone()
    };
    offer.spec = spec.into();
    let profile = fake_server::TaskProfile {
        always_fails: true,
        ..fixtures::task_profile(fixtures::LONG_RUN)
    };
    simulation.submit(0, &offer, profile);
    simulation.run_until(fixtures::ms(300));
    simulation.deadly_tasks.clear();
    simulation.run_until(fixtures::ms(14_000));
    let exhausted = job_model::FailureReason::AttemptsExhausted;
    let ends = fixtures::job_ends(&simulation, "job");
    assert_eq!(ends, [job_model::JobEnd::Failed(exhausted)]);
    // One lost run, and three of 0.9 s that fail one after the other.
    let answered_at = simulation.answers[0].at;
    assert!(answered_at < fixtures::ms(4_100), "after {answered_at:?}");
}

/// A job is given up, and its caller sends it again under the same id.
#[test]
fn resent_copy_of_a_given_up_job_is_not_started_again() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    mark_deadly(
        &mut simulation,
        "job",
        &[0],
        fake_server::ServerMode::Crashed,
    );
    submit(&mut simulation, 0, &patient_offer("job", 1));
    simulation.run_until(fixtures::ms(6_000));
    submit(&mut simulation, 0, &patient_offer("job", 1));
    simulation.run_until(fixtures::ms(20_000));
    assert_eq!(simulation.crashes.len(), 2);
}

/// A job whose first run crashed a server is offered to the pool of another failure domain.
#[test]
fn crash_counts_in_the_pool_of_another_domain() {
    let servers = SERVERS.iter().map(|name| fixtures::server(name)).collect();
    let policies = settings::PoolPolicies::default();
    let mut simulation = pool_simulation::PoolSimulation::new(2, servers, policies);
    for (pool_index, foreign_servers) in [(0, &SERVERS[4..]), (1, &SERVERS[..4])] {
        for name in foreign_servers {
            simulation.pools[pool_index].remove_registry_entry(name);
        }
        simulation.lead(pool_index);
    }
    simulation.run_until(fixtures::ms(2_000));
    mark_deadly(
        &mut simulation,
        "job",
        &[0],
        fake_server::ServerMode::Crashed,
    );
    submit(&mut simulation, 0, &patient_offer("job", 1));
    simulation.run_until(fixtures::ms(2_100));
    assert_eq!(simulation.crashes.len(), 1);
    simulation.withdraw(0, "job");
    simulation.run_until(fixtures::ms(4_000));
    submit(&mut simulation, 1, &patient_offer("job", 1));
    simulation.run_until(fixtures::ms(20_000));
    assert_eq!(simulation.crashes.len(), 2);
}

/// Two servers in turn are cut off while they run a task, which is not at fault. It must not be given up
/// when they respond again with the same incarnation.
#[test]
fn silence_of_two_servers_does_not_give_up_a_task() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    submit(&mut simulation, 0, &patient_offer("job", 1));
    for until in [300, 1_900] {
        simulation.run_until(fixtures::ms(until));
        let running = SERVERS
            .iter()
            .find(|name| simulation.server_mut(name).used_cpu_millis() > 0);
        let name = running.expect("a server runs the task");
        simulation.server_mut(name).mode = fake_server::ServerMode::Unreachable;
    }
    simulation.run_until(fixtures::ms(4_000));
    for name in SERVERS {
        simulation.server_mut(name).mode = fake_server::ServerMode::Healthy;
    }
    simulation.run_until(fixtures::ms(14_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.violations, []);
}

/// A rack of servers crashes at once. If its tasks were suspected, each would wait for a server of its own,
/// and a second loss would give up a sound job.
#[test]
fn tasks_of_a_crashed_rack_are_started_again_together() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    let jobs = ["job1", "job2", "job3"];
    for job in jobs {
        submit(&mut simulation, 0, &patient_offer(job, 2));
    }
    simulation.run_until(fixtures::ms(300));
    crash_used_servers(&mut simulation);
    simulation.run_until(fixtures::ms(2_000));
    let used_cpu_millis = |name: &&str| simulation.servers[*name].used_cpu_millis();
    let most_used = SERVERS.iter().map(used_cpu_millis).max();
    assert_eq!(most_used, Some(14_000), "two tasks fit on a server");
    simulation.run_until(fixtures::ms(14_000));
    for job in jobs {
        let ends = fixtures::job_ends(&simulation, job);
        assert_eq!(ends, [job_model::JobEnd::Completed]);
    }
    assert_eq!(simulation.violations, []);
}

/// All servers with tasks of a wide job crash at once. Several of its tasks could be the cause, but none is
/// shown to be.
#[test]
fn wide_job_on_a_crashed_rack_is_completed() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    submit(&mut simulation, 0, &patient_offer("job", 6));
    simulation.run_until(fixtures::ms(300));
    crash_used_servers(&mut simulation);
    simulation.run_until(fixtures::ms(14_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.violations, []);
}

fn crash_used_servers(simulation: &mut pool_simulation::PoolSimulation) {
    let now = simulation.now();
    for name in SERVERS {
        if simulation.server_mut(name).used_cpu_millis() > 0 {
            let crashed = fake_server::ServerMode::Crashed;
            simulation.server_mut(name).crash(crashed, now);
        }
    }
}

/// A server crashes under a short job. The task can't be started again before the leases have expired, which
/// is after the job's answer has lost its value: the caller must not be kept waiting until then.
#[test]
fn job_that_a_crash_makes_too_late_is_answered_at_once() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    let deadly = fake_server::ServerMode::Crashed;
    mark_deadly(&mut simulation, "job", &[0], deadly);
    let offer = fixtures::offer("job", 1, fixtures::ms(60));
    simulation.submit(0, &offer, fixtures::task_profile(fixtures::ms(60)));
    simulation.run_until(fixtures::ms(14_000));
    let end = job_model::JobEnd::Failed(job_model::FailureReason::OutOfTime);
    assert_eq!(fixtures::job_ends(&simulation, "job"), [end]);
    let answered_at = simulation.answers[0].at;
    assert!(answered_at <= fixtures::ms(300), "after {answered_at:?}");
    assert_eq!(simulation.violations, []);
}

/// A server refuses connections for a moment and goes on. Its runs are not lost.
#[test]
fn job_goes_on_when_its_server_refuses_connections_for_a_moment() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    let offer = fixtures::offer("job", 1, fixtures::SHORT_RUN);
    simulation.submit(0, &offer, fixtures::task_profile(fixtures::SHORT_RUN));
    simulation.run_until(fixtures::ms(150));
    let is_used = |name: &&&str| simulation.servers[**name].used_cpu_millis() > 0;
    let name = *SERVERS.iter().find(is_used).expect("a server has the run");
    simulation.reset_connections(name);
    simulation.server_mut(name).mode = fake_server::ServerMode::Crashed;
    simulation.run_until(fixtures::ms(190));
    simulation.server_mut(name).mode = fake_server::ServerMode::Healthy;
    simulation.run_until(fixtures::ms(14_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.violations, []);
}

/// Two deadly tasks are tried at the same moment and crash their servers together. If that counted as a
/// cause outside of them, both would crash a third server.
#[test]
fn deadly_tasks_that_are_tried_at_the_same_moment_crash_two_servers_each() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    for job in ["bad1", "bad2"] {
        let deadly = fake_server::ServerMode::Crashed;
        mark_deadly(&mut simulation, job, &[0], deadly);
        submit(&mut simulation, 0, &patient_offer(job, 1));
    }
    simulation.run_until(fixtures::ms(14_000));
    for job in ["bad1", "bad2"] {
        let crashes = simulation.crashes.iter();
        let count = crashes.filter(|(_, task)| &*task.job == job).count();
        assert!(count <= 2, "{job} crashed {count} servers");
        assert!(is_given_up(&simulation, job));
    }
}

/// Deadly tasks of several jobs are started at one moment on a server each, and crash these together, as a
/// failing rack would. If such losses never counted, the tasks would crash servers together for ever.
#[test]
fn deadly_tasks_that_are_started_at_the_same_moment_crash_three_servers_each() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    let jobs = ["bad1", "bad2", "bad3"];
    for job in jobs {
        let deadly = fake_server::ServerMode::Crashed;
        mark_deadly(&mut simulation, job, &[0], deadly);
        // Two tasks fill a server.
        submit(&mut simulation, 0, &patient_offer(job, 2));
    }
    simulation.run_until(fixtures::ms(14_000));
    for job in jobs {
        let crashes = simulation.crashes.iter();
        let count = crashes.filter(|(_, task)| &*task.job == job).count();
        assert!(count <= 3, "{job} crashed {count} servers");
        assert!(is_given_up(&simulation, job));
    }
}

/// A job has two deadly tasks on two servers, which crash together.
#[test]
fn job_with_two_deadly_tasks_crashes_two_servers_for_each() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    let deadly = fake_server::ServerMode::Crashed;
    mark_deadly(&mut simulation, "job", &[0, 2], deadly);
    submit(&mut simulation, 0, &patient_offer("job", 4));
    simulation.run_until(fixtures::ms(14_000));
    assert!(simulation.crashes.len() <= 4, "{:?}", simulation.crashes);
    assert!(is_given_up(&simulation, "job"));
}

/// One job of a route crashes its server. The route's other jobs, which come meanwhile, must not be suspected
/// for it.
#[test]
fn other_jobs_of_the_route_of_a_deadly_job_are_served_as_usual() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    let deadly = fake_server::ServerMode::Crashed;
    mark_deadly(&mut simulation, "bad", &[0], deadly);
    submit(&mut simulation, 0, &patient_offer("bad", 1));
    simulation.run_until(fixtures::ms(300));
    for job in ["job1", "job2", "job3"] {
        let offer = fixtures::offer(job, 4, fixtures::SHORT_RUN);
        simulation.submit(0, &offer, fixtures::task_profile(fixtures::SHORT_RUN));
    }
    simulation.run_until(fixtures::ms(550));
    for job in ["job1", "job2", "job3"] {
        let ends = fixtures::job_ends(&simulation, job);
        assert_eq!(ends, [job_model::JobEnd::Completed], "{job}");
    }
}

/// The second server refuses connections after its crash. The caller must not wait for the leases to expire.
#[test]
fn given_up_job_is_answered_soon_after_the_second_crash() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    let deadly = fake_server::ServerMode::Crashed;
    mark_deadly(&mut simulation, "job", &[0], deadly);
    submit(&mut simulation, 0, &patient_offer("job", 3));
    simulation.run_until(fixtures::ms(14_000));
    let (second_crash_at, _) = simulation.crashes[1];
    let delay = simulation.answers[0].at.saturating_sub(second_crash_at);
    assert!(delay <= fixtures::ms(150), "after {delay:?}");
}

/// A new leader finds the run of a task that has crashed a server and is tried alone. If it took the run for a
/// usual one, it would start other tasks beside it.
#[test]
fn trial_keeps_its_server_for_itself_under_a_new_leader() {
    let run_time = fixtures::ms(3_000);
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    let deadly = fake_server::ServerMode::Crashed;
    mark_deadly(&mut simulation, "job", &[0], deadly);
    let offer = job_model::JobOffer {
        time_to_deadline: fixtures::ms(12_000),
        ..fixtures::offer("job", 1, run_time)
    };
    simulation.submit(0, &offer, fixtures::task_profile(run_time));
    simulation.run_until(fixtures::ms(300));
    simulation.deadly_tasks.clear();
    simulation.run_until(fixtures::ms(1_400));
    simulation.pause(0);
    simulation.lead(1);
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..offer
    };
    simulation.submit(1, &resubmitted, fixtures::task_profile(run_time));
    // The leases on the crashed server, which the new leader can't reach, have expired.
    simulation.run_until(fixtures::ms(2_900));
    submit(&mut simulation, 1, &patient_offer("other", 1));
    simulation.run_until(fixtures::ms(3_000));
    let servers = simulation.servers.values();
    let most_used = servers.map(fake_server::FakeServer::used_cpu_millis);
    assert_eq!(most_used.max(), Some(7_000));
    simulation.run_until(fixtures::ms(14_000));
    for job in ["job", "other"] {
        let ends = fixtures::job_ends(&simulation, job);
        assert!(ends.contains(&job_model::JobEnd::Completed), "{job}");
    }
    assert_eq!(simulation.violations, []);
}

/// A server is silent for so long that its leases expire, and then reports the ends of its runs. It has not
/// crashed, so they must be started again as usual, not one after the other.
#[test]
fn runs_that_a_silent_server_reports_as_lapsed_are_not_suspected() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    submit(&mut simulation, 0, &patient_offer("job", 2));
    simulation.run_until(fixtures::ms(200));
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    simulation.run_until(fixtures::ms(960));
    simulation.server_mut("s1").mode = fake_server::ServerMode::Healthy;
    let mut until_ms = 960;
    while simulation.servers["s1"].runs.is_empty() || until_ms == 960 {
        until_ms += 10;
        assert!(until_ms < 3_000, "the tasks were not started again");
        simulation.run_until(fixtures::ms(until_ms));
    }
    assert_eq!(simulation.servers["s1"].used_cpu_millis(), 14_000);
    simulation.run_until(fixtures::ms(14_000));
    let ends = fixtures::job_ends(&simulation, "job");
    assert_eq!(ends, [job_model::JobEnd::Completed]);
}

/// A server restarts under a task, and its registry entry and its reports show that at once. The task is tried
/// alone on another server: one that has just gone down may do so again.
#[test]
fn task_is_not_tried_alone_on_the_server_that_has_just_restarted() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    submit(&mut simulation, 0, &patient_offer("job", 1));
    simulation.run_until(fixtures::ms(300));
    let is_used = |name: &&&str| simulation.servers[**name].used_cpu_millis() > 0;
    let name = *["s1", "s2"]
        .iter()
        .find(is_used)
        .expect("a server has the run");
    let now = simulation.now();
    simulation.server_mut(name).restart(now);
    simulation.run_until(fixtures::ms(1_000));
    assert_eq!(simulation.servers[name].used_cpu_millis(), 0);
    simulation.run_until(fixtures::ms(14_000));
    let ends = fixtures::job_ends(&simulation, "job");
    assert_eq!(ends, [job_model::JobEnd::Completed]);
}

/// Some starts go unanswered, and the claims that follow are answered at once. If the runs counted as lost until
/// then, each would be sent to all processes and back, which costs a leader most of its processor.
#[test]
fn unanswered_start_is_no_loss_if_the_next_claim_is_answered() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    for name in SERVERS {
        simulation.server_mut(name).mode = fake_server::ServerMode::StartAnswersLost;
    }
    submit(&mut simulation, 0, &patient_offer("job", 6));
    simulation.run_until(fixtures::ms(14_000));
    let suspects = pool_action::DecisionKind::Suspect;
    assert!(fixtures::decision_count(&simulation, suspects) > 0);
    let losses = pool_action::DecisionKind::LossEvidence;
    assert_eq!(fixtures::decision_count(&simulation, losses), 0);
    let ends = fixtures::job_ends(&simulation, "job");
    assert_eq!(ends, [job_model::JobEnd::Completed]);
}

/// Servers that were draining go away with a run of a task. An operator's stop is no crash.
#[test]
fn stops_of_draining_servers_do_not_give_up_a_task() {
    let mut simulation = fixtures::simulation_with_leader(1, &SERVERS);
    submit(&mut simulation, 0, &patient_offer("job", 1));
    for until in [300, 1_900] {
        simulation.run_until(fixtures::ms(until));
        let running = SERVERS
            .iter()
            .find(|name| simulation.server_mut(name).used_cpu_millis() > 0);
        let name = running.expect("a server runs the task");
        let now = simulation.now();
        let server = simulation.server_mut(name);
        server.entry.draining = true;
        server.entry.sequence += 1;
        simulation.update_registry_entry(0, name);
        simulation
            .server_mut(name)
            .crash(fake_server::ServerMode::Crashed, now);
    }
    simulation.run_until(fixtures::ms(14_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
}

/// A new leader finds a run of unknown size on a server whose capacity has shrunk. If the run counted as
/// the shrunk capacity, a task would be started beside it once the capacity grows again.
#[test]
fn run_of_unknown_size_fills_its_server_also_after_the_capacity_grows() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1"]);
    submit(&mut simulation, 0, &patient_offer("job", 2));
    simulation.run_until(fixtures::ms(200));
    let resize = |simulation: &mut pool_simulation::PoolSimulation, cpu_millis, memory_mb| {
        let entry = &mut simulation.server_mut("s1").entry;
        entry.cpu_millis = cpu_millis;
        entry.memory_mb = memory_mb;
        entry.sequence += 1;
        simulation.update_registry_entry(1, "s1");
    };
    resize(&mut simulation, 2_000, 4_096);
    simulation.pause(0);
    simulation.lead(1);
    simulation.run_until(fixtures::ms(300));
    resize(&mut simulation, 16_000, 32_768);
    submit(&mut simulation, 1, &patient_offer("other", 1));
    simulation.run_until(fixtures::ms(8_000));
    assert_eq!(simulation.violations, []);
}

/// Guards against a sound task that is shown as failed with the next crash of a server that runs nothing of it: the server
/// rejected the start of its trial, which stayed an open loss.
#[test]
fn rejected_start_of_a_trial_is_no_loss() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    submit(&mut simulation, 0, &patient_offer("job", 1));
    simulation.run_until(fixtures::ms(150));
    let is_used = |server: &&fake_server::FakeServer| !server.runs.is_empty();
    let used = simulation.servers.values().find(is_used);
    let crashed = used.expect("the job should run").entry.id.clone();
    let other = if *crashed == *"s1" { "s2" } else { "s1" };
    let now = simulation.now();
    let mode = fake_server::ServerMode::Crashed;
    simulation.server_mut(&crashed).crash(mode, now);
    simulation.reset_connections(&crashed);
    simulation.run_until(fixtures::ms(1_600));
    let trial = &simulation.server_mut(other).runs;
    assert!(!trial.is_empty(), "the task should be tried alone");
    // Its caller leaves and sends the job again. The server has stopped a run with a higher id than that of the copy.
    simulation.withdraw(0, "job");
    simulation.run_until(fixtures::ms(1_700));
    submit(&mut simulation, 0, &patient_offer("job", 1));
    simulation.run_until(fixtures::ms(1_701));
    let rejected = pool_action::DecisionKind::StartRejected;
    assert_eq!(fixtures::decision_count(&simulation, rejected), 1);
    // It leaves once more, and the server crashes without a run.
    simulation.withdraw(0, "job");
    simulation.run_until(fixtures::ms(1_703));
    let now = simulation.now();
    assert!(simulation.server_mut(other).runs.is_empty());
    simulation.server_mut(other).crash(mode, now);
    simulation.reset_connections(other);
    simulation.run_until(fixtures::ms(1_900));
    submit(&mut simulation, 0, &patient_offer("job", 1));
    simulation.run_until(fixtures::ms(2_500));
    assert!(!is_given_up(&simulation, "job"));
    assert_eq!(simulation.violations, []);
}
