//! Real processes under random faults from outside, held to the promises.
//!
//! Runs the seeds of `SEEDS`; for others, set `SOAK_FIRST_SEED` and `SOAK_SEEDS`:
//! `SOAK_FIRST_SEED=100 SOAK_SEEDS=50 cargo test -p cuminkeel_node --test soak`.

mod callers;
mod faults;
mod promises;
mod proxy;
mod site;

use rand::SeedableRng;

/// Seeds of the short run, and each that ever failed with a line on its cause.
///
/// 7: a leader that was paused led again and started a queued job that its successor ran.
const SEEDS: [u64; 3] = [1, 2, 7];
/// Length of the part with faults.
const FAULT_TIME: std::time::Duration = std::time::Duration::from_secs(6);

fn seeds() -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    match (number("SOAK_FIRST_SEED"), number("SOAK_SEEDS")) {
        (Some(first), count) => (first..first + count.unwrap_or(1)).collect(),
        _ => SEEDS.to_vec(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_promises_hold_under_random_faults() {
    for seed in seeds() {
        let broken = run_seed(seed).await;
        assert!(
            broken.is_empty(),
            "seed {seed}: {} broken, first {:#?}",
            broken.len(),
            broken.first()
        );
    }
}

async fn run_seed(seed: u64) -> Vec<promises::InvariantViolation> {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let mut site = site::SoakSite::start().await;
    let calls = callers::start(&site, seed);
    let injected = faults::inject(&mut site, &mut random, FAULT_TIME).await;
    site.heal();
    let answers = calls.stop().await;
    let served = callers::serves_again(&site).await;
    let paused = injected.iter().filter_map(|fault| fault.paused).collect();
    let broken = promises::check(&answers, &site.histories(), &paused, served);
    println!(
        "seed {seed}: {} faults, {} calls, {} completed, {} refused, {} without answer, {} broken",
        injected.len(),
        answers.len(),
        answers
            .iter()
            .filter(|answer| answer.is_completed())
            .count(),
        answers.iter().filter(|answer| answer.is_refused()).count(),
        answers.iter().filter(|answer| answer.status == 0).count(),
        broken.len()
    );
    if !broken.is_empty() {
        println!("faults of seed {seed}: {injected:#?}");
        site.keep_logs();
    }
    broken
}
