//! What admission may count on while units of an allowance are being sought.

use std::time;

use cuminkeel_dispatch::{
    allowance::{ShareLedger, event, settings},
    event as dispatch_event,
};
use cuminkeel_types::{names, time::TimePoint};

const LIMIT: u32 = 24;
const STEP: time::Duration = time::Duration::from_millis(20);

fn lonely_ledger() -> ShareLedger {
    let settings = settings::LedgerSettings {
        local: settings::ShareMember {
            incarnation: names::IncarnationId(1),
            vm: "entry".into(),
            domain: "gebze".into(),
        },
        seats: settings::SeatMap::new(vec!["gebze".into()], 3),
        max_task_time: time::Duration::from_secs(10),
        refresh_interval: time::Duration::from_hours(1),
    };
    ShareLedger::new(TimePoint::from_millis(1), settings, 1)
}

#[test]
fn a_new_entry_counts_on_the_limit_until_nobody_lends() {
    let mut ledger = lonely_ledger();
    let customer = names::CustomerName::new("narrow-desk");
    let terms = vec![dispatch_event::CustomerTerms {
        customer: customer.clone(),
        weight: 1,
        max_concurrent: Some(LIMIT),
        max_starts_per_second: None,
    }];
    let mut now = TimePoint::from_millis(1);
    let mut actions = Vec::new();
    ledger.handle(now, event::LedgerEvent::TermsChanged(terms), &mut actions);
    assert_eq!(ledger.expected_task_share(&customer), Some(LIMIT));
    assert_eq!(ledger.task_share(now, &customer), Some(0), "no seat yet");

    assert!(!ledger.try_start(now, &customer), "no seat, no start");
    assert_eq!(ledger.expected_task_share(&customer), Some(LIMIT));

    while now < TimePoint::from_millis(5_000) {
        now = now + STEP;
        assert!(!ledger.try_start(now, &customer));
        ledger.handle(now, event::LedgerEvent::Tick, &mut actions);
    }
    assert_eq!(ledger.expected_task_share(&customer), Some(0));
}
