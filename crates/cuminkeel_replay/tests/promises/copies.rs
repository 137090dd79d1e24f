//! Copies of a job that arrive at two processes of a failure domain at about the same time.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership, settings};
use cuminkeel_replay::{fake_server, pool_simulation};

use crate::fixtures;

/// Pool of the failure domain in which the copies arrive, which holds `n1`.
const HOME_POOL: usize = 0;
/// Pool of another failure domain, which holds `s1`.
const OTHER_POOL: usize = 1;
/// 70% of the time after which callers send a job again in the replays.
const RELEASE_TIME: time::Duration = time::Duration::from_millis(910);

/// Number of jobs in the test of a divided domain.
const JOB_COUNT: usize = 24;

/// Lets a pool that leads all shards claim the servers `wanted` and leave all others.
fn claim(simulation: &mut pool_simulation::PoolSimulation, pool_index: usize, wanted: &[&str]) {
    let wanted: BTreeSet<Arc<str>> = wanted.iter().map(|server| Arc::from(*server)).collect();
    let now = simulation.now();
    simulation.pools[pool_index].reconcile_claims(&wanted, leadership::ShardSet::ALL, now);
    simulation.pools[pool_index].record_registry_read(now);
    // Withdrawing an unknown job changes nothing; it makes the simulation send the claims.
    simulation.withdraw(pool_index, "no such job");
}

fn overlapping_run_count(simulation: &pool_simulation::PoolSimulation) -> usize {
    simulation
        .violations
        .iter()
        .filter(|violation| {
            matches!(
                violation,
                pool_simulation::InvariantViolation::OverlappingRuns(_)
            )
        })
        .count()
}

/// Creates a failure domain in which both pools lead and hold two of four servers each, at 6 s.
fn divided_domain() -> pool_simulation::PoolSimulation {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2", "s3", "s4"]);
    simulation.run_until(fixtures::ms(2_000));
    claim(&mut simulation, 1, &["s3", "s4"]);
    simulation.run_until(fixtures::ms(2_500));
    claim(&mut simulation, 0, &["s1", "s2"]);
    simulation.run_until(fixtures::ms(6_000));
    simulation
}

/// Creates a simulation of two failure domains, each with a pool and a server, at 100 ms.
fn two_domains() -> pool_simulation::PoolSimulation {
    let mut simulation = pool_simulation::PoolSimulation::new(
        2,
        vec![fixtures::server("n1"), fixtures::server("s1")],
        settings::PoolPolicies::default(),
    );
    for (pool_index, own, foreign) in [(HOME_POOL, "n1", "s1"), (OTHER_POOL, "s1", "n1")] {
        simulation.pools[pool_index].remove_registry_entry(foreign);
        claim(&mut simulation, pool_index, &[own]);
    }
    simulation.run_until(fixtures::ms(100));
    simulation
}

/// Fills the server of the home pool for `run_time`.
fn fill_home(simulation: &mut pool_simulation::PoolSimulation, run_time: time::Duration) {
    let blocker = fixtures::offer("blocker", 2, run_time);
    simulation.submit(HOME_POOL, &blocker, fixtures::task_profile(run_time));
}

/// Offers a job that `source` has received to a pool.
fn offer_from(
    simulation: &mut pool_simulation::PoolSimulation,
    pool_index: usize,
    source: &str,
    terms: job_model::OfferTerms,
) {
    let offer = job_model::JobOffer {
        source: Arc::from(source),
        terms,
        ..fixtures::offer("job", 1, fixtures::LONG_RUN)
    };
    simulation.submit(
        pool_index,
        &offer,
        fixtures::task_profile(fixtures::LONG_RUN),
    );
}

fn refusal_reasons(
    simulation: &pool_simulation::PoolSimulation,
) -> Vec<Option<job_model::RefusalReason>> {
    fixtures::job_ends(simulation, "job")
        .into_iter()
        .map(|end| match end {
            job_model::JobEnd::Refused { reason, .. } => Some(reason),
            _ => None,
        })
        .collect()
}

/// The home pool refuses one copy, which another domain then runs, and would admit the other
/// (`docs/findings/soak-seed-9003-copy-abroad.txt`).
#[test]
fn copy_of_a_job_that_another_domain_runs_is_refused_at_home() {
    let mut simulation = two_domains();
    fill_home(&mut simulation, fixtures::SHORT_RUN);
    simulation.run_until(fixtures::ms(110));
    offer_from(
        &mut simulation,
        HOME_POOL,
        "north-1",
        job_model::OfferTerms::AtOnce,
    );
    assert_eq!(
        refusal_reasons(&simulation),
        [Some(job_model::RefusalReason::QueueTooLong)]
    );
    offer_from(
        &mut simulation,
        OTHER_POOL,
        "north-1",
        job_model::OfferTerms::AtOnce,
    );
    // The home pool has room again.
    simulation.run_until(fixtures::ms(500));
    offer_from(
        &mut simulation,
        HOME_POOL,
        "north-2",
        job_model::OfferTerms::AtOnce,
    );
    simulation.run_until(fixtures::ms(3_000));
    assert_eq!(overlapping_run_count(&simulation), 0);
    assert_eq!(
        refusal_reasons(&simulation),
        [
            Some(job_model::RefusalReason::QueueTooLong),
            Some(job_model::RefusalReason::CopyElsewhere),
            None
        ]
    );
}

/// The coordinator of the refused copy offers the job again when no other pool has taken it. From then
/// on the job is here, so the other copy waits for it, too.
#[test]
fn source_of_a_refused_offer_may_offer_the_job_again() {
    let mut simulation = two_domains();
    fill_home(&mut simulation, fixtures::SHORT_RUN);
    simulation.run_until(fixtures::ms(110));
    for (source, terms) in [
        ("north-1", job_model::OfferTerms::AtOnce),
        ("north-1", job_model::OfferTerms::Useful),
        ("north-2", job_model::OfferTerms::AtOnce),
    ] {
        offer_from(&mut simulation, HOME_POOL, source, terms);
    }
    simulation.run_until(fixtures::ms(3_000));
    assert_eq!(
        refusal_reasons(&simulation),
        [Some(job_model::RefusalReason::QueueTooLong), None, None]
    );
}

/// The coordinator of the refused copy was lost, and the caller sends the job again. It would never be
/// served if the pool recorded the refusal for too long.
#[test]
fn job_of_a_lost_coordinator_is_decided_anew_after_the_release_time() {
    let mut simulation = two_domains();
    fill_home(&mut simulation, fixtures::SHORT_RUN);
    simulation.run_until(fixtures::ms(110));
    offer_from(
        &mut simulation,
        HOME_POOL,
        "north-1",
        job_model::OfferTerms::AtOnce,
    );
    simulation.run_until(fixtures::ms(109) + RELEASE_TIME);
    offer_from(
        &mut simulation,
        HOME_POOL,
        "north-2",
        job_model::OfferTerms::AtOnce,
    );
    simulation.run_until(fixtures::ms(110) + RELEASE_TIME);
    offer_from(
        &mut simulation,
        HOME_POOL,
        "north-2",
        job_model::OfferTerms::AtOnce,
    );
    simulation.run_until(fixtures::ms(4_000));
    assert_eq!(
        refusal_reasons(&simulation),
        [
            Some(job_model::RefusalReason::QueueTooLong),
            Some(job_model::RefusalReason::CopyElsewhere),
            None
        ]
    );
}

/// Two coordinators wait for a queued job. If both were told that it expired in the queue, each would
/// offer it to another pool.
#[test]
fn only_one_coordinator_of_a_job_that_expires_in_the_queue_may_offer_it_elsewhere() {
    let mut simulation = two_domains();
    // The takeover is over, so that a refusal does not mean that a copy may run here.
    simulation.run_until(fixtures::ms(2_000));
    fill_home(&mut simulation, fixtures::SHORT_RUN);
    for source in ["north-1", "north-2"] {
        offer_from(
            &mut simulation,
            HOME_POOL,
            source,
            job_model::OfferTerms::Useful,
        );
    }
    // The job was admitted, but the server stops responding for as long as the job could wait.
    simulation.server_mut("n1").mode = fake_server::ServerMode::Unreachable;
    simulation.run_until(fixtures::ms(8_000));
    assert_eq!(
        refusal_reasons(&simulation),
        [
            Some(job_model::RefusalReason::ExpiredInQueue),
            Some(job_model::RefusalReason::CopyElsewhere)
        ]
    );
}

/// More jobs are refused within the release time than the pool records. Those beyond the limit must not
/// go to other pools, as the pool would admit copies of them.
#[test]
fn jobs_beyond_the_limit_of_recorded_refusals_are_not_offered_to_other_pools() {
    let mut simulation = two_domains();
    simulation.run_until(fixtures::ms(2_000));
    let recorded_count = 32_768;
    for number in 0..=recorded_count {
        let mut offer = fixtures::offer(&format!("job{number}"), 1, fixtures::SHORT_RUN);
        if let Some(spec) = Arc::get_mut(&mut offer.spec) {
            spec.service = Arc::from("no such service");
        }
        simulation.submit(
            HOME_POOL,
            &offer,
            fixtures::task_profile(fixtures::SHORT_RUN),
        );
    }
    let reason_counts = |reason| {
        simulation
            .answers
            .iter()
            .filter(|answer| matches!(answer.end, job_model::JobEnd::Refused { reason: given, .. } if given == reason))
            .count()
    };
    assert_eq!(
        (
            reason_counts(job_model::RefusalReason::NoSuitableServer),
            reason_counts(job_model::RefusalReason::NoPool)
        ),
        (recorded_count, 1)
    );
}

/// Two copies of each job arrive at the two leaders of a divided domain at the same instant
/// (`docs/findings/soak-seed-3107-split-domain.txt`). Both would start theirs.
#[test]
fn copies_that_arrive_at_both_leaders_of_a_divided_domain_run_once() {
    let mut simulation = divided_domain();
    let mut served = [0, 0];
    for number in 0..JOB_COUNT {
        let id = format!("job{number}");
        let offer = fixtures::offer(&id, 1, fixtures::SHORT_RUN);
        for (pool_index, served) in served.iter_mut().enumerate() {
            let profile = fixtures::task_profile(fixtures::SHORT_RUN);
            simulation.submit(pool_index, &offer, profile);
            // The copy of the other leader waits in its queue until it is refused.
            *served += usize::from(simulation.load(pool_index).queued_jobs == 0);
        }
        let next = simulation.now() + fixtures::ms(900);
        simulation.run_until(next);
        let mut ends = fixtures::job_ends(&simulation, &id);
        ends.sort_by_key(|end| *end != job_model::JobEnd::Completed);
        assert!(
            matches!(
                ends[..],
                [
                    job_model::JobEnd::Completed,
                    job_model::JobEnd::Refused {
                        reason: job_model::RefusalReason::NoPool,
                        ..
                    }
                ]
            ),
            "{id}: {ends:?}"
        );
    }
    assert_eq!(overlapping_run_count(&simulation), 0);
    assert!(
        served.iter().all(|count| *count >= JOB_COUNT / 4),
        "each leader should serve its share: {served:?}"
    );
}

/// The leaders of a divided domain choose the arbiter of a job among the servers that each of them lists. One may have
/// read of a removed entry, or of a new one, before the other.
#[test]
fn copies_run_once_when_the_leaders_of_a_divided_domain_list_different_servers() {
    let mut overlaps = Vec::new();
    for is_added in [false, true] {
        for number in 0..JOB_COUNT {
            let mut simulation = divided_domain();
            if is_added {
                simulation
                    .servers
                    .insert(Arc::from("s5"), fixtures::server("s5"));
                simulation.update_registry_entry(1, "s5");
                claim(&mut simulation, 1, &["s3", "s4", "s5"]);
                simulation.run_until(fixtures::ms(6_100));
            } else {
                simulation.pools[0].remove_registry_entry("s3");
            }
            let offer = fixtures::offer(&format!("job{number}"), 1, fixtures::SHORT_RUN);
            for pool_index in 0..2 {
                let profile = fixtures::task_profile(fixtures::SHORT_RUN);
                simulation.submit(pool_index, &offer, profile);
            }
            simulation.run_until(fixtures::ms(7_000));
            if overlapping_run_count(&simulation) > 0 {
                overlaps.push((is_added, number));
            }
        }
    }
    assert_eq!(
        overlaps,
        [],
        "whether a server was added, and number of the job"
    );
}

/// A leader loses servers for good while it runs jobs on its other servers. Callers send these jobs again
/// to the other leader, which would start them as soon as it takes the unknown runs for expired.
#[test]
fn runs_of_jobs_that_another_leader_may_start_are_stopped() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2", "s3", "s4"]);
    simulation.run_until(fixtures::ms(2_000));
    let run_time = fixtures::ms(3_000);
    // They fill `s1` and `s2`, as servers are filled one after the other.
    let offers: Vec<job_model::JobOffer> = (0..4)
        .map(|number| fixtures::offer(&format!("job{number}"), 1, run_time))
        .collect();
    for offer in &offers {
        simulation.submit(0, offer, fixtures::task_profile(run_time));
    }
    simulation.run_until(fixtures::ms(2_010));
    claim(&mut simulation, 1, &["s3", "s4"]);
    for offer in &offers {
        simulation.submit(1, offer, fixtures::task_profile(run_time));
    }
    simulation.run_until(fixtures::ms(8_000));
    assert_eq!(overlapping_run_count(&simulation), 0);
}
