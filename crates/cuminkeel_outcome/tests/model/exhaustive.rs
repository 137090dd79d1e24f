//! All schedules of the smallest case with few deviations from fair delivery:
//! one key, its authority, its witness and one other entry.
//!
//! `CUMINKEEL_MODEL_DEVIATIONS` sets the most deviations in a schedule.

use std::{env, thread};

use cuminkeel_outcome::{rules, settings};

use super::world::{Command, KeyCall, Weather, World};

const STEPS: usize = 10;
const DEVIATIONS: usize = 2;
const DEVIATIONS_VARIABLE: &str = "CUMINKEEL_MODEL_DEVIATIONS";
const AUTHORITY: usize = 0;
const WITNESS: usize = 1;
const OTHER: usize = 2;
const END_MILLIS: u64 = 6_000;

#[derive(Clone, Copy, Debug)]
enum Deviation {
    DeliverLast,
    DropNext,
    DoubleNext,
    Pass(u64),
    Obey(Command),
}

const ALL: [Deviation; 18] = [
    Deviation::DeliverLast,
    Deviation::DropNext,
    Deviation::DoubleNext,
    Deviation::Pass(30),
    Deviation::Pass(120),
    Deviation::Pass(1_100),
    Deviation::Obey(Command::Crash(AUTHORITY)),
    Deviation::Obey(Command::Crash(WITNESS)),
    Deviation::Obey(Command::Drain(AUTHORITY)),
    Deviation::Obey(Command::Drain(WITNESS)),
    Deviation::Obey(Command::Pause(AUTHORITY, false)),
    Deviation::Obey(Command::Pause(WITNESS, false)),
    Deviation::Obey(Command::Suspect(OTHER, AUTHORITY)),
    Deviation::Obey(Command::Suspect(OTHER, WITNESS)),
    Deviation::Obey(Command::Submit(call(AUTHORITY))),
    Deviation::Obey(Command::Submit(call(WITNESS))),
    Deviation::Obey(Command::Cancel(call(AUTHORITY))),
    Deviation::Obey(Command::Cancel(call(OTHER))),
];

const fn call(place: usize) -> KeyCall {
    KeyCall {
        place,
        token: 0,
        variant: 0,
        stranger: false,
        wait_millis: 1_500,
    }
}

fn deviate(world: &mut World, deviation: Deviation) {
    match deviation {
        Deviation::DeliverLast => {
            if let Some(message) = world.take_message(true) {
                world.happen(message);
            }
        }
        Deviation::DropNext => drop(world.take_message(false)),
        Deviation::DoubleNext => {
            if let Some(message) = world.take_message(false) {
                world.push(world.now + 500, message.clone());
                world.happen(message);
            }
        }
        Deviation::Pass(millis) => world.pass_time(millis),
        Deviation::Obey(command) => world.obey(&command),
    }
}

/// Runs one schedule: at some steps a deviation, at the others the next
/// message is delivered; then everything runs on fairly.
fn run(deviations: &[(usize, Deviation)], rules: rules::RuleSet) -> World {
    let mut world = World::new(1, 3, settings::LedgerLimits::default(), rules);
    world.weather = Weather {
        run_millis: 40,
        ..Weather::default()
    };
    world.at(1, Command::Fetch(AUTHORITY, 0, 1));
    world.at(2_500, Command::Resume(AUTHORITY));
    world.at(2_500, Command::Resume(WITNESS));
    world.run_until(2);
    world.obey(&Command::Submit(call(OTHER)));
    for step in 0..STEPS {
        match deviations.iter().find(|(at, _)| *at == step) {
            Some((_, deviation)) => deviate(&mut world, *deviation),
            None => match world.take_message(false) {
                Some(message) => world.happen(message),
                None => world.run_until(world.now / 1_000 + 10),
            },
        }
    }
    world.at(4_000, Command::Submit(call(OTHER)));
    world.run_until(END_MILLIS);
    world.check_end();
    world
}

fn visit(
    prefix: &mut Vec<(usize, Deviation)>,
    left: usize,
    rules: rules::RuleSet,
    check: &mut impl FnMut(&[(usize, Deviation)], &World),
) {
    check(prefix, &run(prefix, rules));
    let first = prefix.last().map_or(0, |(step, _)| step + 1);
    if left == 0 {
        return;
    }
    for step in first..STEPS {
        for deviation in ALL {
            prefix.push((step, deviation));
            visit(prefix, left - 1, rules, check);
            prefix.pop();
        }
    }
}

fn deviations() -> usize {
    env::var(DEVIATIONS_VARIABLE)
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(DEVIATIONS)
}

/// Visits the schedules whose first deviation comes at `step`, and counts them.
fn visit_from(step: usize) -> usize {
    let mut count = 0;
    for deviation in ALL {
        let mut prefix = vec![(step, deviation)];
        visit(
            &mut prefix,
            deviations() - 1,
            rules::RuleSet::whole(),
            &mut |schedule, world| {
                count += 1;
                let broken = world.violations.first();
                assert!(broken.is_none(), "{schedule:?}: {broken:?}");
            },
        );
    }
    count
}

#[test]
fn no_small_schedule_breaks_a_promise() {
    let count: usize = thread::scope(|scope| {
        let shares: Vec<_> = (0..STEPS)
            .map(|step| scope.spawn(move || visit_from(step)))
            .collect();
        shares
            .into_iter()
            .map(|share| share.join().expect("a schedule broke a promise"))
            .sum()
    });
    println!(
        "{count} schedules with 1 to {} deviations in {STEPS} steps",
        deviations()
    );
}
