//! Random schedules with fixed seeds: no promise is broken while all rules hold,
//! and each broken rule breaks one.

use std::{env, thread};

use cuminkeel_outcome::rules;

use super::{schedule, world};

const SCHEDULES: u64 = 10_000;
const SCHEDULES_VARIABLE: &str = "CUMINKEEL_MODEL_SCHEDULES";
const THREADS: u64 = 4;

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
