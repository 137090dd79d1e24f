//! Tests of single components of a process.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership};
use cuminkeel_node::{claim_targets, link_frame, link_interval, node_tuning, registry_feed};
use platform_adapter::store;

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

// The store drops the entries of running servers that could not renew them in an outage. The
// servers must not count as removed before they had time to register again.
#[test]
fn registry_entries_that_expire_in_a_store_outage_are_kept_for_a_grace_period() {
    let server: Arc<str> = Arc::from("s1");
    let mut pending_removals = registry_feed::PendingRemovals::default();
    assert!(
        pending_removals.record_removal(&server, ms(100)),
        "without an outage, the server should be removed immediately"
    );
    pending_removals.record_outage(ms(1_000));
    assert!(!pending_removals.record_removal(&server, ms(1_500)));
    assert!(
        pending_removals.take_confirmed(ms(3_000)).is_empty(),
        "no server should be removed 2 s after the outage"
    );
    assert_eq!(
        pending_removals.take_confirmed(ms(4_000)),
        [Arc::clone(&server)]
    );
    assert!(
        pending_removals.take_confirmed(ms(9_000)).is_empty(),
        "each removal should be returned once"
    );
    pending_removals.record_outage(ms(10_000));
    assert!(!pending_removals.record_removal(&server, ms(10_100)));
    pending_removals.record_registered("s1");
    assert!(
        pending_removals.take_confirmed(ms(20_000)).is_empty(),
        "a server that registered again should not be removed"
    );
    assert!(
        pending_removals.record_removal(&server, ms(20_000)),
        "10 s after an outage, the server should be removed immediately"
    );
}

#[test]
fn status_interval_depends_on_domain_purpose_and_use() {
    use link_interval::LinkPurpose::{Leader, ShardLeader, Spillover, Standby};

    let cases = [
        ("only leader of the local domain", true, Leader, false, 150),
        (
            "only leader of the local domain, link in use",
            true,
            Leader,
            true,
            150,
        ),
        (
            "one of several leaders of the local domain",
            true,
            ShardLeader,
            false,
            300,
        ),
        ("standbys of the local domain", true, Standby, false, 1_000),
        (
            "leader of a remote domain, link in use",
            false,
            Spillover,
            true,
            250,
        ),
        ("leader of a remote domain", false, Spillover, false, 1_000),
        ("standbys of a remote domain", false, Standby, false, 2_000),
    ];
    for (name, is_local, purpose, is_busy, expected) in cases {
        assert_eq!(
            link_interval::status_interval(is_local, purpose, is_busy),
            ms(expected),
            "{name}"
        );
    }
}

fn member(name: &str, reachable: bool, held_servers: u32) -> leadership::DomainMember {
    leadership::DomainMember {
        name: Arc::from(name),
        cpu_millis: 250,
        reachable,
        leaving: false,
        held_servers,
        shards: leadership::ShardSet::default(),
    }
}

/// Returns the servers that the given process should hold if each domain has one leader.
fn servers_wanted_by(
    (name, claim_targets): &mut (&str, claim_targets::ClaimTargets),
    members: &[leadership::DomainMember],
    servers: &[Arc<str>],
    now: time::Duration,
) -> BTreeSet<Arc<str>> {
    let shards = leadership::shards_to_lead(members, 1, name);
    claim_targets.wanted_servers(members, shards, servers.iter(), now)
}

fn numbered_names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| Arc::from(format!("{prefix}{number}")))
        .collect()
}

#[test]
fn only_the_leader_wants_servers() {
    let servers = numbered_names("s", 16);
    let mut process = ("b", claim_targets::ClaimTargets::new(Arc::from("b")));
    let members = [member("a", true, 0), member("b", true, 0)];
    assert!(servers_wanted_by(&mut process, &members, &servers, ms(0)).is_empty());
    let members = [member("a", false, 0), member("b", true, 0)];
    assert_eq!(
        servers_wanted_by(&mut process, &members, &servers, ms(0)).len(),
        16
    );
}

// In a network partition, each side has a leader that reaches all servers. If both claimed all of
// them, they would take the servers from each other without end.
#[test]
fn sides_of_a_partitioned_domain_divide_the_servers() {
    let servers = numbered_names("s", 16);
    let mut left = ("a", claim_targets::ClaimTargets::new(Arc::from("a")));
    let mut right = ("b", claim_targets::ClaimTargets::new(Arc::from("b")));
    let members_seen_left = [member("a", true, 16), member("b", false, 0)];
    let members_seen_right = [member("a", false, 0), member("b", true, 16)];
    // Each side claims the servers that it wants and doesn't hold. The later claim wins, and the
    // previous holder is informed.
    let mut held_left: BTreeSet<Arc<str>> = servers.iter().cloned().collect();
    let mut held_right = BTreeSet::new();
    let mut now = ms(0);
    for _ in 0..10 {
        for server in servers_wanted_by(&mut right, &members_seen_right, &servers, now) {
            if held_right.insert(Arc::clone(&server)) && held_left.remove(&server) {
                left.1.record_lost_server(&server, &members_seen_left, now);
            }
        }
        for server in servers_wanted_by(&mut left, &members_seen_left, &servers, now) {
            if held_left.insert(Arc::clone(&server)) && held_right.remove(&server) {
                right
                    .1
                    .record_lost_server(&server, &members_seen_right, now);
            }
        }
        now += ms(100);
    }
    let wanted_left = servers_wanted_by(&mut left, &members_seen_left, &servers, now);
    let wanted_right = servers_wanted_by(&mut right, &members_seen_right, &servers, now);
    assert_eq!(wanted_left.intersection(&wanted_right).count(), 0);
    assert!(!wanted_left.is_empty() && !wanted_right.is_empty());
    // When the sides reach each other again, the process that reports more servers leads and wants
    // all of them.
    let members_rejoined = [member("a", true, 9), member("b", true, 7)];
    assert_eq!(
        servers_wanted_by(&mut left, &members_rejoined, &servers, now).len(),
        16
    );
    assert!(servers_wanted_by(&mut right, &members_rejoined, &servers, now).is_empty());
}

#[tokio::test]
async fn frames_round_trip_and_unknown_formats_are_skipped() {
    let frames = [
        link_frame::LinkFrame::Status(link_frame::PeerStatus {
            held_servers: 3,
            config_version: 9,
            ..link_frame::PeerStatus::default()
        }),
        link_frame::LinkFrame::End {
            submission_id: 4,
            end: job_model::JobEnd::Completed,
        },
    ];
    // Starts with a frame of the unknown format 250.
    let mut bytes = vec![0, 0, 0, 3, 250, 1, 2];
    for frame in &frames {
        link_frame::encode_frame(frame, &mut bytes).expect("frame should be encoded");
    }
    let mut reader = &bytes[..];
    for frame in &frames {
        let decoded = link_frame::read_frame(&mut reader)
            .await
            .expect("frame should be read");
        assert_eq!(&decoded, frame);
    }
    assert!(
        link_frame::read_frame(&mut reader).await.is_err(),
        "the end of the input should be an error"
    );
}

/// Without one of these cases, a new leader would take a server that still runs tasks for gone, or wait
/// for servers that left as announced or belong to another failure domain.
#[test]
fn history_of_the_registry_shows_the_servers_whose_entries_lapsed() {
    let entry = |domain: &str, state: &str| {
        format!(
            r#"{{"service":"order-desk","address":"a:1","zone":"{domain}","version":"v1","slots":8,"state":"{state}","cold_remaining_ms":0,"seq_no":1,"capacity":{{"cpu":1,"mem_mb":1,"gpu":0}},"labels":[]}}"#
        )
    };
    let (ready, draining) = (entry("north", "ready"), entry("north", "draining"));
    let other_domain = entry("south", "ready");
    // An empty text stands for the removal of the entry.
    let cases: [(&str, &[&str], bool); 7] = [
        ("registered", &[&ready], false),
        ("removed", &[&ready, ""], true),
        ("removed and back", &[&ready, "", &ready], false),
        ("left as announced", &[&ready, &draining, ""], false),
        ("of another failure domain", &[&other_domain, ""], false),
        ("removed, with no earlier record", &[""], true),
        (
            "removed and written by another writer",
            &[&ready, "", "?"],
            true,
        ),
    ];
    for (name, values, expected) in cases {
        let history: Vec<store::KeyedRecord> = values
            .iter()
            .zip(0..)
            .map(|(value, offset)| store::KeyedRecord {
                offset,
                key: Arc::from("s1"),
                value: (!value.is_empty()).then(|| value.as_bytes().to_vec().into()),
            })
            .collect();
        let has_lapsed = !registry_feed::lapsed_servers(&history, "north").is_empty();
        assert_eq!(has_lapsed, expected, "{name}");
    }
}

/// A part of the history would be taken for all of it: the entry that it lacks may be one that lapsed.
#[test]
fn history_that_is_read_in_part_does_not_show_that_no_entry_has_lapsed() {
    let cases = [
        ("all read, none lapsed", 160, 160, 0, false),
        ("all read, one lapsed", 160, 160, 1, true),
        ("one record unreadable", 160, 159, 0, true),
        ("most records deleted", 160, 3, 0, true),
        ("no record read", 160, 0, 0, true),
        ("empty snapshot, so none asked for", 0, 0, 0, true),
    ];
    for (name, asked, read, lapsed, expected) in cases {
        assert_eq!(
            registry_feed::shows_missing_entries(asked, read, lapsed),
            expected,
            "{name}"
        );
    }
}

#[tokio::test]
async fn invalid_and_missing_frames_are_errors() {
    let cases: [(&str, &[u8]); 6] = [
        ("frame of length 0", &[0, 0, 0, 0]),
        ("frame above the maximum length", &[255, 0, 0, 0, 1]),
        ("truncated frame", &[0, 0, 0, 9, 1, 2]),
        ("body of an unknown kind of frame", &[0, 0, 0, 2, 2, 99]),
        ("body that ends before its last field", &[0, 0, 0, 2, 2, 4]),
        (
            "no frame after a skipped one of format 1",
            &[0, 0, 0, 2, 1, 99],
        ),
    ];
    for (name, bytes) in cases {
        let mut reader = bytes;
        assert!(link_frame::read_frame(&mut reader).await.is_err(), "{name}");
    }
}

#[test]
fn example_tuning_file_has_the_defaults() {
    let example =
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tuning.yaml");
    let tuning = node_tuning::NodeTuning::read(&example).expect("example should be valid");
    assert_eq!(tuning, node_tuning::NodeTuning::default());
}

#[test]
fn tuning_error_names_the_setting_value_or_line() {
    let path = std::env::temp_dir().join(format!("cuminkeel-tuning-{}.yaml", std::process::id()));
    let cases = [
        (
            "leader_wait_ms: 50\n",
            "`leader_wait_ms` is 50 ms; use 100 to 10000",
        ),
        ("metrics_port: 0\n", "`metrics_port` is 0"),
        ("order_timeout_ms: 40\nhold_timeout: 80\n", "hold_timeout"),
        ("log_level: loud\n", "loud"),
        ("log_buffer_kib: much\n", "line 1"),
    ];
    for (text, expected) in cases {
        std::fs::write(&path, text).expect("file should be written");
        let failure = node_tuning::NodeTuning::read(&path)
            .expect_err(text)
            .to_string();
        assert!(failure.contains(expected), "{text}: {failure}");
    }
    std::fs::write(&path, "order_timeout_ms: 60\n").expect("file should be written");
    let tuning = node_tuning::NodeTuning::read(&path).expect("tuning should be valid");
    assert_eq!(tuning.order_timeout(), ms(60));
    assert_eq!(
        tuning.leader_wait(),
        ms(1_500),
        "a setting that is not in the file should have its default"
    );
    std::fs::remove_file(&path).expect("file should exist");
    let failure =
        node_tuning::NodeTuning::read(&path).expect_err("a missing file should be an error");
    assert!(
        failure.to_string().starts_with("can't read"),
        "expected a read error: {failure}"
    );
}
