//! Tests of the age of input after pauses.

use std::time;

use cuminkeel_dispatch::input_clock;

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Returns a clock with turns each 20 ms from 0 to `until_ms`.
fn clock_with_turns(until_ms: u64) -> input_clock::InputClock {
    let mut clock = input_clock::InputClock::default();
    for at in (0..=until_ms).step_by(20) {
        clock.record_turn(ms(at));
    }
    clock
}

#[test]
fn input_of_a_process_that_runs_counts_as_new() {
    let clock = clock_with_turns(1_000);
    assert_eq!(clock.earliest_arrival(ms(1_007)), ms(1_007));
    assert_eq!(clock.earliest_arrival(ms(1_200)), ms(1_200));
}

/// Guards against requests that a process reads after a freeze and takes for new, whether it reads them before or
/// after the first turn of its event loop.
#[test]
fn input_that_is_read_after_a_freeze_counts_as_old() {
    let mut clock = clock_with_turns(1_000);
    assert_eq!(clock.earliest_arrival(ms(4_000)), ms(1_000));
    clock.record_turn(ms(4_001));
    assert_eq!(clock.earliest_arrival(ms(4_002)), ms(1_000));
    clock.record_turn(ms(4_021));
    assert_eq!(clock.earliest_arrival(ms(4_022)), ms(1_000));
    clock.record_turn(ms(4_041));
    assert_eq!(clock.earliest_arrival(ms(4_042)), ms(4_042));
}

/// Guards against old requests in a queue of new connections that takes longer to empty than two turns.
#[test]
fn input_counts_as_old_until_all_connections_of_the_freeze_are_accepted() {
    let mut clock = clock_with_turns(1_000);
    clock.record_accept(true);
    for at in (4_000..5_000).step_by(20) {
        clock.record_turn(ms(at));
    }
    assert_eq!(clock.earliest_arrival(ms(5_000)), ms(1_000));
    clock.record_accept(false);
    clock.record_turn(ms(5_000));
    clock.record_turn(ms(5_020));
    assert_eq!(clock.earliest_arrival(ms(5_021)), ms(5_021));
}

/// Guards against input of an earlier freeze that counts as that of a later one.
#[test]
fn input_of_freezes_in_series_counts_from_the_first() {
    let mut clock = clock_with_turns(1_000);
    clock.record_turn(ms(2_000));
    clock.record_turn(ms(2_020));
    clock.record_turn(ms(3_000));
    assert_eq!(clock.earliest_arrival(ms(3_001)), ms(1_000));
}
