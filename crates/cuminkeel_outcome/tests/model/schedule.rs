//! Random schedules of calls and faults, each given by its seed.

use std::time;

use cuminkeel_outcome::{rules, settings};
use rand::{RngExt, SeedableRng};

use super::world::{Command, KeyCall, Weather, World};

const ENTRIES: usize = 4;
/// Keys that each place fetches at first.
const FIRST_KEYS: usize = 3;
const FAULTS_UNTIL_MILLIS: u64 = 2_500;
const END_MILLIS: u64 = 9_000;

/// Bounds small enough that keys expire and are forgotten within a schedule.
fn tight_limits() -> settings::LedgerLimits {
    settings::LedgerLimits {
        key_lifetime: time::Duration::from_millis(900),
        record_retention: time::Duration::from_millis(500),
        answer_retention: time::Duration::from_millis(300),
        key_records: 4,
        witness_marks: 3,
        purge_interval: time::Duration::from_millis(100),
        handover_wait: time::Duration::from_millis(600),
        ..settings::LedgerLimits::default()
    }
}

fn wide_limits() -> settings::LedgerLimits {
    settings::LedgerLimits {
        purge_interval: time::Duration::from_secs(1),
        ..settings::LedgerLimits::default()
    }
}

/// Runs the schedule of a seed to its end.
pub fn run(seed: u64, rules: rules::RuleSet) -> World {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed ^ 0x6375_6d69);
    let limits = if seed.is_multiple_of(2) {
        tight_limits()
    } else {
        wide_limits()
    };
    let entries = if seed % 16 == 5 {
        1
    } else {
        rng.random_range(2..=ENTRIES)
    };
    let mut world = World::new(seed, entries, limits, rules);
    world.weather = draw_weather(&mut rng);
    for place in 0..entries {
        let customer = if place % 2 == 0 { 0 } else { 2 };
        world.at(1, Command::Fetch(place, customer, FIRST_KEYS));
    }
    for _ in 0..rng.random_range(4..14) {
        add_calls(&mut world, &mut rng, entries);
    }
    for _ in 0..rng.random_range(0..6) {
        add_fault(&mut world, &mut rng, entries);
    }
    world.run_until(END_MILLIS);
    world.check_end();
    world
}

fn draw_weather(rng: &mut rand::rngs::StdRng) -> Weather {
    let mut weather = Weather {
        troubled_jobs: 100,
        ..Weather::default()
    };
    let harshness = rng.random_range(0..3);
    weather.lost = harshness * 125;
    weather.doubled = harshness * 100;
    weather.slow = harshness * 150;
    weather.very_late = harshness * 50;
    weather.crossed = harshness * 150;
    weather.troubled_jobs += harshness * 100;
    weather
}

/// One key used once or more: again at once, at another entry, later, with
/// another job, by a stranger, or cancelled.
fn add_calls(world: &mut World, rng: &mut rand::rngs::StdRng, entries: usize) {
    let token = rng.random_range(0..entries * 4);
    let mut at = rng.random_range(2..FAULTS_UNTIL_MILLIS);
    if rng.random_range(0..10) == 0 {
        let customer = rng.random_range(0..2_u8) * 2;
        world.at(
            at,
            Command::Fetch(rng.random_range(0..entries), customer, 2),
        );
    }
    for _ in 0..rng.random_range(1..=3) {
        let place = rng.random_range(0..entries);
        let wait_millis = rng.random_range(20..2_000);
        let manner = rng.random_range(0..20);
        let (variant, stranger) = (u8::from(manner == 4), manner == 5);
        let call = KeyCall {
            place,
            token,
            variant,
            stranger,
            wait_millis,
        };
        let command = match manner {
            0 => Command::SubmitDirect(place, wait_millis),
            1..=3 => Command::Cancel(call),
            _ => Command::Submit(call),
        };
        world.at(at, command);
        at += match rng.random_range(0..4) {
            0 => 0,
            1 => rng.random_range(0..4),
            2 => rng.random_range(0..200),
            _ => rng.random_range(0..2_500),
        };
    }
}

/// Calls with a key of the place where a fault comes, just before or after it.
fn add_calls_near(
    world: &mut World,
    rng: &mut rand::rngs::StdRng,
    (at, place): (u64, usize),
    entries: usize,
) {
    let token = place * FIRST_KEYS + rng.random_range(0..FIRST_KEYS);
    for _ in 0..rng.random_range(1..=3) {
        let place = rng.random_range(0..entries);
        let call = KeyCall {
            place,
            token,
            wait_millis: 1_500,
            ..KeyCall::default()
        };
        world.at(at + rng.random_range(0..60) - 2, Command::Submit(call));
    }
}

fn add_fault(world: &mut World, rng: &mut rand::rngs::StdRng, entries: usize) {
    let at = rng.random_range(4..FAULTS_UNTIL_MILLIS);
    let until = at + rng.random_range(1..1_500);
    let place = rng.random_range(0..entries);
    let other = rng.random_range(0..entries);
    if rng.random() {
        add_calls_near(world, rng, (at, place), entries);
    }
    let mut during = |fault, end| {
        world.at(at, fault);
        world.at(until, end);
    };
    match rng.random_range(0..11) {
        0 => during(Command::Crash(place), Command::Start(place)),
        1 | 2 => {
            let fault = Command::CrashWithin(place, rng.random_range(0..3));
            during(fault, Command::Start(place));
        }
        3 => during(Command::Pause(place, rng.random()), Command::Resume(place)),
        4 => during(Command::Block(place, other), Command::Unblock(place, other)),
        5 => {
            for peer in 0..entries {
                during(Command::Block(place, peer), Command::Unblock(place, peer));
                during(Command::Block(peer, place), Command::Unblock(peer, place));
            }
        }
        6 => during(
            Command::Suspect(place, other),
            Command::Unsuspect(place, other),
        ),
        7..=9 => world.at(at, Command::Drain(place)),
        _ => world.at(at, Command::StepClock(place, rng.random_range(1..2_000))),
    }
}
