//! The platform contract through the real client against the stand-in, with
//! its faults switched on one by one.

use std::{sync, time};

use cuminkeel_platform::border::{self, LogStore, PlatformError, VmDirectory};
use cuminkeel_platform::client;
use cuminkeel_standin::platform::{self, faults, gate, log_state};

const STREAM: &str = "config";
const LONG_WAIT: time::Duration = time::Duration::from_secs(30);
const NO_WAIT: time::Duration = time::Duration::ZERO;
const LIMIT: usize = 100;
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

struct Bench {
    platform: platform::PlatformStandin,
    client: client::HttpPlatform,
}

fn bench(settings: platform::PlatformSettings) -> Bench {
    let platform = platform::PlatformStandin::start(settings).expect("a free port");
    let settings = client::PlatformSettings {
        max_answer_bytes: SMALL_ANSWER_BYTES,
        request_timeout: LONG_WAIT,
        ..client::PlatformSettings::new(platform.address())
    };
    let client = client::HttpPlatform::new(settings);
    Bench { platform, client }
}

fn plain_bench() -> Bench {
    bench(platform::PlatformSettings::default())
}

/// What a call gave, without the words for a person.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    Fine,
    Unavailable,
    Refused,
    Trimmed { head: u64 },
    Malformed,
}

fn seen<Value>(result: &Result<Value, PlatformError>) -> Seen {
    match result {
        Ok(_) => Seen::Fine,
        Err(PlatformError::Unavailable { .. }) => Seen::Unavailable,
        Err(PlatformError::AppendRefused { .. }) => Seen::Refused,
        Err(PlatformError::Trimmed { head, .. }) => Seen::Trimmed { head: *head },
        Err(PlatformError::Malformed { .. }) => Seen::Malformed,
    }
}

fn payloads(records: &[border::LogRecord]) -> Vec<Vec<u8>> {
    records
        .iter()
        .map(|record| record.payload.to_vec())
        .collect()
}

#[tokio::test]
async fn appends_and_reads_in_order() {
    let bench = plain_bench();
    for number in 0..5_u8 {
        let offset = bench.client.append(STREAM, &[number]).await;
        assert_eq!(offset, Ok(u64::from(number)));
    }
    let batch = bench.client.read(STREAM, 2, 2, NO_WAIT).await.expect("up");
    assert_eq!(payloads(&batch.records), [[2], [3]]);
    assert_eq!((batch.head, batch.tail), (0, 5));
    let other = bench.client.read("other", 0, LIMIT, NO_WAIT).await;
    assert_eq!(other.expect("up").records, []);
}

#[tokio::test]
async fn each_append_fault_gives_its_error_and_its_records() {
    let late = faults::AppendFault::WrittenLate {
        delay: time::Duration::from_millis(1),
    };
    let cases = [
        ("no fault", None, Seen::Fine, 1),
        (
            "lost before",
            Some(faults::AppendFault::AckLostBeforeWrite),
            Seen::Unavailable,
            0,
        ),
        (
            "lost after",
            Some(faults::AppendFault::AckLostAfterWrite),
            Seen::Unavailable,
            1,
        ),
        (
            "twice",
            Some(faults::AppendFault::WrittenTwice),
            Seen::Fine,
            2,
        ),
        ("late", Some(late), Seen::Unavailable, 1),
    ];
    for (name, append, expected, records) in cases {
        let bench = plain_bench();
        // The fault then strikes a reused connection, where a client could repeat.
        bench.client.append(STREAM, b"first").await.expect("up");
        bench.platform.set_faults(faults::PlatformFaults {
            append,
            ..faults::PlatformFaults::default()
        });
        let result = bench.client.append(STREAM, b"second").await;
        assert_eq!(seen(&result), expected, "{name}");
        bench.platform.set_faults(faults::PlatformFaults::default());
        let mut found = Vec::new();
        while found.len() < records {
            let offset = 1 + found.len() as u64;
            let batch = bench.client.read(STREAM, offset, LIMIT, LONG_WAIT).await;
            found.extend(payloads(&batch.expect("up").records));
        }
        assert_eq!(found, vec![b"second".to_vec(); records], "{name}");
        assert_eq!(bench.platform.counts().appends, 2, "{name}: sent once");
        assert_eq!(bench.platform.records(STREAM).len(), records + 1, "{name}");
    }
}

#[tokio::test]
async fn a_fault_strikes_only_each_nth_append() {
    let bench = plain_bench();
    bench.platform.set_faults(faults::PlatformFaults {
        append: Some(faults::AppendFault::AckLostAfterWrite),
        append_every: 3,
        ..faults::PlatformFaults::default()
    });
    let mut results = Vec::new();
    for _ in 0..6 {
        results.push(seen(&bench.client.append(STREAM, b"x").await));
    }
    let lost = Seen::Unavailable;
    assert_eq!(
        results,
        [Seen::Fine, Seen::Fine, lost, Seen::Fine, Seen::Fine, lost]
    );
    assert_eq!(bench.platform.records(STREAM).len(), 6);
}

#[tokio::test]
async fn a_late_record_stands_behind_those_of_others() {
    let bench = plain_bench();
    bench.platform.set_faults(faults::PlatformFaults {
        append: Some(faults::AppendFault::WrittenLate {
            delay: time::Duration::from_millis(500),
        }),
        append_every: 2,
        ..faults::PlatformFaults::default()
    });
    bench.client.append(STREAM, b"a").await.expect("up");
    bench
        .client
        .append(STREAM, b"late")
        .await
        .expect_err("lost");
    bench.client.append(STREAM, b"b").await.expect("up");
    let batch = bench
        .client
        .read(STREAM, 2, LIMIT, LONG_WAIT)
        .await
        .expect("up");
    let mut all = payloads(&batch.records);
    all.extend(payloads(&bench.platform.records(STREAM)[..2]));
    all.sort();
    assert_eq!(all, [b"a".to_vec(), b"b".to_vec(), b"late".to_vec()]);
}

#[tokio::test]
async fn each_fault_of_reads_and_lists_gives_its_error() {
    let none = faults::PlatformFaults::default();
    let answer = |fault| faults::PlatformFaults {
        answer: Some(fault),
        ..none
    };
    let outage = faults::PlatformFaults {
        outage: true,
        ..none
    };
    let oversize = faults::AnswerFault::Oversize {
        bytes: SMALL_ANSWER_BYTES + 1,
    };
    let bad = Seen::Malformed;
    let cases = [
        ("no fault", none, Seen::Fine, Seen::Fine, Seen::Fine),
        (
            "outage",
            outage,
            Seen::Unavailable,
            Seen::Unavailable,
            Seen::Unavailable,
        ),
        (
            "not json",
            answer(faults::AnswerFault::NotJson),
            bad,
            bad,
            Seen::Unavailable,
        ),
        ("oversize", answer(oversize), bad, bad, Seen::Unavailable),
        (
            "gap",
            answer(faults::AnswerFault::OffsetGap),
            bad,
            Seen::Fine,
            Seen::Fine,
        ),
        (
            "not base64",
            answer(faults::AnswerFault::NotBase64),
            bad,
            Seen::Fine,
            Seen::Fine,
        ),
        (
            "head past tail",
            answer(faults::AnswerFault::HeadPastTail),
            bad,
            Seen::Fine,
            Seen::Fine,
        ),
    ];
    for (name, faults, read, list, append) in cases {
        let bench = plain_bench();
        for _ in 0..2 {
            bench.client.append(STREAM, b"x").await.expect("up");
        }
        bench.platform.set_faults(faults);
        let result = bench.client.read(STREAM, 0, LIMIT, NO_WAIT).await;
        assert_eq!(seen(&result), read, "{name}: read {result:?}");
        assert_eq!(seen(&bench.client.list().await), list, "{name}: list");
        assert_eq!(seen(&bench.client.usage().await), list, "{name}: usage");
        assert_eq!(
            seen(&bench.client.append(STREAM, b"y").await),
            append,
            "{name}: append"
        );
        bench.platform.set_faults(none);
        let healed = bench.client.read(STREAM, 0, LIMIT, NO_WAIT).await;
        assert_eq!(seen(&healed), Seen::Fine, "{name}: healed");
    }
}

#[tokio::test]
async fn a_slow_or_silent_platform_is_unavailable_after_the_timeout() {
    let none = faults::PlatformFaults::default();
    let slow = faults::PlatformFaults {
        delay: LONG_WAIT,
        ..none
    };
    let silent = faults::PlatformFaults {
        silent: true,
        ..none
    };
    for (name, faults) in [("slow", slow), ("silent", silent)] {
        let bench = plain_bench();
        let impatient = client::HttpPlatform::new(client::PlatformSettings {
            request_timeout: time::Duration::from_millis(50),
            ..client::PlatformSettings::new(bench.platform.address())
        });
        bench.platform.set_faults(faults);
        let read = impatient.read(STREAM, 0, LIMIT, NO_WAIT).await;
        assert_eq!(seen(&read), Seen::Unavailable, "{name}: read");
        let append = impatient.append(STREAM, b"x").await;
        assert_eq!(seen(&append), Seen::Unavailable, "{name}: append");
        assert_eq!(
            seen(&impatient.list().await),
            Seen::Unavailable,
            "{name}: list"
        );
    }
}

#[tokio::test]
async fn what_is_refused_is_not_written() {
    let bench = plain_bench();
    let too_large = vec![0; border::MAX_RECORD_BYTES + 1];
    let largest = vec![0; border::MAX_RECORD_BYTES];
    let long_name = "n".repeat(65);
    let cases: [(&str, &str, &[u8], Seen); 6] = [
        ("too large", STREAM, &too_large, Seen::Refused),
        ("largest", STREAM, &largest, Seen::Fine),
        ("empty record", STREAM, b"", Seen::Fine),
        ("empty name", "", b"x", Seen::Refused),
        ("path in the name", "a/../b", b"x", Seen::Refused),
        ("long name", &long_name, b"x", Seen::Refused),
    ];
    for (name, stream, payload, expected) in cases {
        let result = bench.client.append(stream, payload).await;
        assert_eq!(seen(&result), expected, "{name}");
    }
    assert_eq!(bench.platform.records(STREAM).len(), 2);
    let read = bench.client.read("a b", 0, LIMIT, NO_WAIT).await;
    assert_eq!(seen(&read), Seen::Malformed);
}

#[tokio::test]
async fn appends_beyond_the_rate_are_refused_and_not_written() {
    let bench = bench(platform::PlatformSettings {
        log: log_state::LogLimits {
            appends_per_second: 1,
            ..log_state::LogLimits::default()
        },
        ..platform::PlatformSettings::default()
    });
    let mut fine = 0;
    let mut refused = 0;
    while refused == 0 {
        match seen(&bench.client.append(STREAM, b"x").await) {
            Seen::Fine => fine += 1,
            Seen::Refused => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(bench.platform.records(STREAM).len(), fine);
}

#[tokio::test]
async fn a_trimmed_offset_names_the_head() {
    let bench = bench(platform::PlatformSettings {
        log: log_state::LogLimits {
            max_records: 4,
            ..log_state::LogLimits::default()
        },
        ..platform::PlatformSettings::default()
    });
    for number in 0..6_u8 {
        bench.client.append(STREAM, &[number]).await.expect("up");
    }
    let read = |offset| bench.client.read(STREAM, offset, LIMIT, NO_WAIT);
    assert_eq!(seen(&read(1).await), Seen::Trimmed { head: 2 }, "by count");
    assert_eq!(
        payloads(&read(2).await.expect("kept").records),
        [[2], [3], [4], [5]]
    );
    bench.platform.trim(STREAM, 5);
    assert_eq!(seen(&read(2).await), Seen::Trimmed { head: 5 }, "by hand");
    let batch = read(5).await.expect("kept");
    assert_eq!((batch.head, batch.tail, batch.records.len()), (5, 6, 1));
}

#[tokio::test]
async fn a_stale_read_shows_a_smaller_tail_and_is_passed_on() {
    let bench = plain_bench();
    for number in 0..3_u8 {
        bench.client.append(STREAM, &[number]).await.expect("up");
    }
    bench.platform.set_faults(faults::PlatformFaults {
        stale_records: 2,
        ..faults::PlatformFaults::default()
    });
    let batch = bench
        .client
        .read(STREAM, 0, LIMIT, NO_WAIT)
        .await
        .expect("up");
    assert_eq!((batch.tail, payloads(&batch.records)), (1, vec![vec![0]]));
    let behind = bench
        .client
        .read(STREAM, 2, LIMIT, NO_WAIT)
        .await
        .expect("up");
    assert_eq!((behind.tail, behind.records.len()), (1, 0));
}

#[tokio::test]
async fn a_waiting_read_ends_with_the_next_append() {
    let bench = plain_bench();
    let (batch, offset) = tokio::join!(
        bench.client.read(STREAM, 0, LIMIT, LONG_WAIT),
        bench.client.append(STREAM, b"x"),
    );
    assert_eq!(offset, Ok(0));
    assert_eq!(payloads(&batch.expect("up").records), [b"x"]);
}

#[tokio::test]
async fn a_cut_gate_stops_one_domain_and_not_another() {
    let bench = plain_bench();
    let gate = bench.platform.open_gate().expect("a free port");
    let cut_off = client::HttpPlatform::new(client::PlatformSettings {
        request_timeout: time::Duration::from_millis(50),
        ..client::PlatformSettings::new(gate.address())
    });
    for state in [gate::GateState::Cut, gate::GateState::Reset] {
        gate.set(state);
        let result = cut_off.append(STREAM, b"x").await;
        assert_eq!(seen(&result), Seen::Unavailable, "{state:?}");
    }
    assert_eq!(bench.platform.records(STREAM), []);
    assert_eq!(bench.client.append(STREAM, b"x").await, Ok(0));
    gate.set(gate::GateState::Open);
    let patient = client::HttpPlatform::new(client::PlatformSettings {
        request_timeout: LONG_WAIT,
        ..client::PlatformSettings::new(gate.address())
    });
    assert_eq!(patient.append(STREAM, b"y").await, Ok(1));
}

fn server_record(name: &str, state: border::VmState) -> border::VmRecord {
    border::VmRecord {
        name: name.into(),
        domain: "gebze".into(),
        rack: "r1".into(),
        partner: "partner".into(),
        state,
        role: border::VmRole::BackendServer {
            http: ([127, 0, 0, 1], 1).into(),
            slots: 8,
            max_connections: 60,
            max_size_millicores: 16_000,
        },
    }
}

#[tokio::test]
async fn the_vm_list_lags_and_freezes() {
    let bench = bench(platform::PlatformSettings {
        list_lag: time::Duration::from_hours(1),
        ..platform::PlatformSettings::default()
    });
    let live = vec![server_record("s", border::VmState::Live)];
    let leaving = vec![server_record("s", border::VmState::Leaving)];
    bench.platform.set_vms(live.clone());
    bench.platform.set_vms(leaving.clone());
    let shown = bench.client.list().await.expect("up");
    assert_eq!((shown.version, &shown.vms), (1, &live), "lagging");
    bench.platform.freeze_list(true);
    bench.platform.set_list_lag(NO_WAIT);
    assert_eq!(bench.client.list().await.expect("up").vms, live, "frozen");
    bench.platform.freeze_list(false);
    let shown = bench.client.list().await.expect("up");
    assert_eq!((shown.version, shown.vms), (2, leaving), "caught up");
}

#[derive(Debug)]
struct FixedUsage;

impl platform::UsageSource for FixedUsage {
    fn name(&self) -> sync::Arc<str> {
        "s".into()
    }

    fn busy_slots(&self) -> u32 {
        3
    }
}

#[tokio::test]
async fn usage_is_reported_with_its_age() {
    let bench = plain_bench();
    bench.platform.add_usage_source(sync::Arc::new(FixedUsage));
    let usage = bench.client.usage().await.expect("up");
    assert_eq!(usage.len(), 1);
    assert_eq!((&*usage[0].name, usage[0].busy_slots), ("s", 3));
    assert!(usage[0].age <= LONG_WAIT);
}

#[tokio::test]
async fn a_closed_port_is_unavailable() {
    let bench = plain_bench();
    drop(bench.platform);
    assert_eq!(
        seen(&bench.client.append(STREAM, b"x").await),
        Seen::Unavailable
    );
    assert_eq!(seen(&bench.client.list().await), Seen::Unavailable);
}
