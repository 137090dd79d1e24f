//! Random schedules with fixed seeds: no promise is broken while all rules hold,
//! and each broken rule breaks one.

use std::{env, thread};

use cuminkeel_outcome::{rules, settings};

use super::{schedule, world};

const SCHEDULES: u64 = 10_000;
const SCHEDULES_VARIABLE: &str = "CUMINKEEL_MODEL_SCHEDULES";
const THREADS: u64 = 4;
const CRASH_SCHEDULES: u64 = 500;
const CRASH_KEYS: usize = 60;
const CRASH_SPACING_MILLIS: u64 = 10;
const CRASH_MILLIS: u64 = 300;

fn schedules() -> u64 {
    env::var(SCHEDULES_VARIABLE)
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(SCHEDULES)
}

fn run_share(share: u64) -> world::Counts {
    let mut sum = world::Counts::default();
    for seed in (share..schedules()).step_by(usize::try_from(THREADS).unwrap_or(1)) {
        let world = schedule::run(seed, rules::RuleSet::whole());
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        sum.add(&world.counts);
    }
    sum
}

#[test]
fn no_schedule_breaks_a_promise() {
    let sum = thread::scope(|scope| {
        let shares: Vec<_> = (0..THREADS)
            .map(|share| scope.spawn(move || run_share(share)))
            .collect();
        let mut sum = world::Counts::default();
        for share in shares {
            sum.add(&share.join().expect("a schedule broke a promise"));
        }
        sum
    });
    println!("{} schedules: {sum:?}", schedules());
    assert!(sum.complete > 0 && sum.not_run > 0 && sum.unknown > 0 && sum.ran > 0);
}

fn first_catch(rule: rules::OutcomeRule) -> Option<(u64, world::Violation)> {
    (0..SCHEDULES).find_map(|seed| {
        let world = schedule::run(seed, rules::RuleSet::without(rule));
        world
            .violations
            .into_iter()
            .next()
            .map(|violation| (seed, violation))
    })
}

#[test]
fn each_broken_rule_is_caught() {
    let rules = rules::OutcomeRule::ALL;
    let caught: Vec<_> = thread::scope(|scope| {
        let searches = rules.map(|rule| scope.spawn(move || (rule, first_catch(rule))));
        searches
            .map(|search| search.join().expect("the search ends"))
            .into()
    });
    for (rule, catch) in &caught {
        println!("| {rule} | {catch:?} |");
    }
    let missed: Vec<_> = caught.iter().filter(|(_, catch)| catch.is_none()).collect();
    assert!(missed.is_empty(), "not caught: {missed:?}");
}

/// One authority with a stream of jobs crashes once; nothing else goes wrong.
fn run_crash(seed: u64) -> world::Counts {
    let limits = settings::LedgerLimits::default();
    let mut world = world::World::new(seed, 3, limits, rules::RuleSet::whole());
    world.at(1, world::Command::Fetch(0, 0, CRASH_KEYS));
    for token in 0..CRASH_KEYS {
        let place = 1 + token % 2;
        let call = world::KeyCall {
            place,
            token,
            wait_millis: 1_500,
            ..Default::default()
        };
        world.at(
            10 + token as u64 * CRASH_SPACING_MILLIS,
            world::Command::Submit(call),
        );
    }
    world.at(
        CRASH_MILLIS + seed % CRASH_SPACING_MILLIS,
        world::Command::Crash(0),
    );
    world.run_until(5_000);
    world.check_end();
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}",
        world.violations
    );
    world.counts
}

#[test]
fn after_one_crash_only_started_jobs_are_unknown() {
    let mut sum = world::Counts::default();
    for seed in 0..CRASH_SCHEDULES {
        sum.add(&run_crash(seed));
    }
    println!("{CRASH_SCHEDULES} crashes: {sum:?}");
    assert!(sum.not_run > 0 && sum.unknown > 0);
    assert!(sum.unknown_unsent * 20 < sum.unknown, "{sum:?}");
}
