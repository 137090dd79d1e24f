//! Random schedules of calls and faults, each given by its seed.

use std::time;

use cuminkeel_outcome::{rules, settings};
use rand::{RngExt, SeedableRng};

use super::world::{Command, Weather, World};

const ENTRIES: usize = 4;
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
        let customer = u8::try_from(place % 2).unwrap_or(0) * 2;
        world.at(
            1,
            Command::FetchKeys {
                place,
                customer,
                count: 3,
            },
        );
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
    match rng.random_range(0..3) {
        0 => Weather {
            troubled_jobs: 100,
            ..Weather::default()
        },
        1 => Weather {
            lost: 50,
            doubled: 50,
            slow: 200,
            very_late: 20,
            crossed: 100,
            troubled_jobs: 200,
            run_millis: 0,
        },
        _ => Weather {
            lost: 250,
            doubled: 200,
            slow: 300,
            very_late: 100,
            crossed: 300,
            troubled_jobs: 300,
            run_millis: 0,
        },
    }
}

/// One key used once or more: again at once, at another entry, later, with
/// another job, by a stranger, or cancelled.
fn add_calls(world: &mut World, rng: &mut rand::rngs::StdRng, entries: usize) {
    let token = rng.random_range(0..entries * 4);
    let mut at = rng.random_range(2..FAULTS_UNTIL_MILLIS);
    if rng.random_range(0..10) == 0 {
        let place = rng.random_range(0..entries);
        let customer = u8::try_from(rng.random_range(0..2)).unwrap_or(0) * 2;
        world.at(
            at,
            Command::FetchKeys {
                place,
                customer,
                count: 2,
            },
        );
    }
    for _ in 0..rng.random_range(1..=3) {
        let place = rng.random_range(0..entries);
        let wait = time::Duration::from_millis(rng.random_range(20..2_000));
        let command = match rng.random_range(0..20) {
            0 => Command::SubmitDirect { place, wait },
            1..=3 => Command::Cancel { place, token, wait },
            other => Command::Submit {
                place,
                token,
                variant: u8::from(other == 4),
                stranger: other == 5,
                wait,
            },
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

fn add_fault(world: &mut World, rng: &mut rand::rngs::StdRng, entries: usize) {
    let at = rng.random_range(2..FAULTS_UNTIL_MILLIS);
    let until = at + rng.random_range(1..1_500);
    let place = rng.random_range(0..entries);
    let other = rng.random_range(0..entries);
    match rng.random_range(0..11) {
        0 => {
            world.at(at, Command::Crash { place });
            world.at(until, Command::Start { place });
        }
        1 | 2 => {
            let actions = rng.random_range(0..3);
            world.at(at, Command::CrashWithin { place, actions });
            world.at(until, Command::Start { place });
        }
        3 => {
            world.at(
                at,
                Command::Pause {
                    place,
                    clock_stands: rng.random(),
                },
            );
            world.at(until, Command::Resume { place });
        }
        4 => {
            world.at(
                at,
                Command::Block {
                    from: place,
                    to: other,
                },
            );
            world.at(
                until,
                Command::Unblock {
                    from: place,
                    to: other,
                },
            );
        }
        5 => {
            for peer in 0..entries {
                world.at(
                    at,
                    Command::Block {
                        from: place,
                        to: peer,
                    },
                );
                world.at(
                    until,
                    Command::Unblock {
                        from: place,
                        to: peer,
                    },
                );
                world.at(
                    at,
                    Command::Block {
                        from: peer,
                        to: place,
                    },
                );
                world.at(
                    until,
                    Command::Unblock {
                        from: peer,
                        to: place,
                    },
                );
            }
        }
        6 => {
            world.at(
                at,
                Command::Suspect {
                    by: place,
                    whom: other,
                },
            );
            world.at(
                until,
                Command::Unsuspect {
                    by: place,
                    whom: other,
                },
            );
        }
        7..=9 => world.at(at, Command::Drain { place }),
        _ => {
            let by = time::Duration::from_millis(rng.random_range(1..2_000));
            world.at(at, Command::StepClock { place, by });
        }
    }
}
