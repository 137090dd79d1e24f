//! Tests of the age of what a process has read of the registry.

use std::time;

use cuminkeel_dispatch::read_progress;

fn ms(milliseconds: u64) -> time::Duration {
    time::Duration::from_millis(milliseconds)
}

/// Each spell is told once, with its length.
#[test]
fn age_is_reported_when_it_reaches_the_bound_and_when_it_is_regained() {
    let mut progress = read_progress::ReadProgress::default();
    progress.record_read(ms(1_000));
    assert_eq!(progress.check_age(ms(2_999)), None);
    let stale = read_progress::AgeChange::Stale { age: ms(2_000) };
    assert_eq!(progress.check_age(ms(3_000)), Some(stale));
    assert_eq!(progress.check_age(ms(9_000)), None);
    progress.record_read(ms(9_500));
    let regained = read_progress::AgeChange::Regained { gap: ms(8_500) };
    assert_eq!(progress.check_age(ms(9_600)), Some(regained));
    assert_eq!(progress.check_age(ms(9_700)), None);
}

/// A process that was turned away since its start has no read to count from.
#[test]
fn age_counts_from_the_first_look_before_the_first_read() {
    let mut progress = read_progress::ReadProgress::default();
    assert_eq!(progress.check_age(ms(5_000)), None);
    assert_eq!(progress.age(ms(5_000)), None);
    let stale = read_progress::AgeChange::Stale { age: ms(2_100) };
    assert_eq!(progress.check_age(ms(7_100)), Some(stale));
}

/// An answer that a peer sent late must not make what was read seem older than it is.
#[test]
fn read_that_began_earlier_changes_no_age() {
    let mut progress = read_progress::ReadProgress::default();
    progress.record_read(ms(4_000));
    progress.record_read(ms(1_000));
    assert_eq!(progress.age(ms(4_500)), Some(ms(500)));
}
