//! Parts of a process by themselves.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership};
use cuminkeel_node::{link_frame, link_interval, node_tuning, server_ownership, store_feed};

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

#[test]
fn entries_lapsed_during_an_outage_are_given_time_to_come_back() {
    let server: Arc<str> = Arc::from("s1");
    let mut lapsed = store_feed::PendingRemovals::default();
    assert!(
        lapsed.note_dropped(&server, ms(100)),
        "the store was never away"
    );
    lapsed.note_outage(ms(1_000));
    assert!(!lapsed.note_dropped(&server, ms(1_500)));
    assert!(
        lapsed.take_gone(ms(3_000)).is_empty(),
        "two seconds are not over"
    );
    assert_eq!(lapsed.take_gone(ms(4_000)), [Arc::clone(&server)]);
    assert!(lapsed.take_gone(ms(9_000)).is_empty(), "told once");
    lapsed.note_outage(ms(10_000));
    assert!(!lapsed.note_dropped(&server, ms(10_100)));
    lapsed.note_listed("s1");
    assert!(lapsed.take_gone(ms(20_000)).is_empty(), "it came back");
    assert!(
        lapsed.note_dropped(&server, ms(20_000)),
        "the outage is long over"
    );
}

#[test]
fn states_are_sent_as_often_as_something_depends_on_them() {
    use link_interval::LinkPurpose::{Leader, ShardLeader, Spillover, Standby};

    let cases = [
        ("to a leader of the domain", true, Leader, false, 150),
        ("the same with jobs", true, Leader, true, 150),
        ("to one of several", true, ShardLeader, false, 300),
        ("among followers", true, Standby, false, 1_000),
        (
            "to a leader that gets jobs elsewhere",
            false,
            Spillover,
            true,
            250,
        ),
        ("to a leader elsewhere", false, Spillover, false, 1_000),
        ("to followers elsewhere", false, Standby, false, 2_000),
    ];
    for (name, near, usage, busy, expected) in cases {
        assert_eq!(
            link_interval::status_interval(near, usage, busy),
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

/// Servers that the process of `view`, named after it, should hold as the only leader.
fn wanted(
    (name, view): &mut (&str, server_ownership::ServerOwnership),
    members: &[leadership::DomainMember],
    servers: &[Arc<str>],
    now: time::Duration,
) -> BTreeSet<Arc<str>> {
    let shards = leadership::shards_to_lead(members, 1, name);
    view.wanted_servers(members, shards, servers.iter(), now)
}

fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| Arc::from(format!("{prefix}{number}")))
        .collect()
}

#[test]
fn only_a_leader_wants_servers() {
    let servers = names("s", 16);
    let mut view = ("b", server_ownership::ServerOwnership::new(Arc::from("b")));
    let members = [member("a", true, 0), member("b", true, 0)];
    assert!(wanted(&mut view, &members, &servers, ms(0)).is_empty());
    let members = [member("a", false, 0), member("b", true, 0)];
    assert_eq!(wanted(&mut view, &members, &servers, ms(0)).len(), 16);
}

#[test]
fn two_halves_of_a_cut_domain_settle_on_a_division() {
    let servers = names("s", 16);
    let mut left = ("a", server_ownership::ServerOwnership::new(Arc::from("a")));
    let mut right = ("b", server_ownership::ServerOwnership::new(Arc::from("b")));
    let seen_left = [member("a", true, 16), member("b", false, 0)];
    let seen_right = [member("a", false, 0), member("b", true, 16)];
    // Each claims what it wants and doesn't hold; the later claim wins, and the former
    // holder learns of it.
    let mut held_left: BTreeSet<Arc<str>> = servers.iter().cloned().collect();
    let mut held_right = BTreeSet::new();
    let mut now = ms(0);
    for _ in 0..10 {
        for server in wanted(&mut right, &seen_right, &servers, now) {
            if held_right.insert(Arc::clone(&server)) && held_left.remove(&server) {
                left.1.record_lost_server(&server, &seen_left, now);
            }
        }
        for server in wanted(&mut left, &seen_left, &servers, now) {
            if held_left.insert(Arc::clone(&server)) && held_right.remove(&server) {
                right.1.record_lost_server(&server, &seen_right, now);
            }
        }
        now += ms(100);
    }
    let left_wants = wanted(&mut left, &seen_left, &servers, now);
    let right_wants = wanted(&mut right, &seen_right, &servers, now);
    assert_eq!(left_wants.intersection(&right_wants).count(), 0);
    assert!(!left_wants.is_empty() && !right_wants.is_empty());
    // Once they reach each other, one leads and wants all.
    let both = [member("a", true, 9), member("b", true, 7)];
    assert_eq!(wanted(&mut left, &both, &servers, now).len(), 16);
    assert!(wanted(&mut right, &both, &servers, now).is_empty());
}

#[tokio::test]
async fn frames_are_read_back_and_unknown_formats_skipped() {
    let frames = [
        link_frame::LinkFrame::Status(link_frame::PeerStatus {
            held_servers: 3,
            config_version: 9,
            ..link_frame::PeerStatus::default()
        }),
        link_frame::LinkFrame::End {
            request_id: 4,
            end: job_model::JobEnd::Completed,
        },
    ];
    let mut bytes = vec![0, 0, 0, 3, 250, 1, 2];
    for frame in &frames {
        link_frame::encode_frame(frame, &mut bytes).expect("a frame");
    }
    let mut reader = &bytes[..];
    for frame in &frames {
        let read = link_frame::read_frame(&mut reader).await.expect("a frame");
        assert_eq!(&read, frame);
    }
    assert!(
        link_frame::read_frame(&mut reader).await.is_err(),
        "the end"
    );
}

#[tokio::test]
async fn bad_frames_are_typed() {
    let cases: [(&str, &[u8]); 4] = [
        ("an empty frame", &[0, 0, 0, 0]),
        ("an oversized frame", &[255, 0, 0, 0, 1]),
        ("a frame that breaks off", &[0, 0, 0, 9, 1, 2]),
        ("a body that is none", &[0, 0, 0, 2, 1, 99]),
    ];
    for (name, bytes) in cases {
        let mut reader = bytes;
        assert!(link_frame::read_frame(&mut reader).await.is_err(), "{name}");
    }
}

#[test]
fn the_example_of_what_may_be_tuned_has_the_defaults() {
    let example =
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tuning.yaml");
    let tuning = node_tuning::NodeTuning::read(&example).expect("an example");
    assert_eq!(tuning, node_tuning::NodeTuning::default());
}

#[test]
fn bad_tuning_is_refused_with_its_place_and_range() {
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
        std::fs::write(&path, text).expect("a file");
        let failure = node_tuning::NodeTuning::read(&path)
            .expect_err(text)
            .to_string();
        assert!(failure.contains(expected), "{text}: {failure}");
    }
    std::fs::write(&path, "order_timeout_ms: 60\n").expect("a file");
    let tuning = node_tuning::NodeTuning::read(&path).expect("settings");
    assert_eq!(tuning.order_timeout(), ms(60));
    assert_eq!(
        tuning.leader_wait(),
        ms(1_500),
        "the rest keeps its default"
    );
    std::fs::remove_file(&path).expect("it was written");
    let failure = node_tuning::NodeTuning::read(&path).expect_err("no file");
    assert!(failure.to_string().starts_with("can't read"), "{failure}");
}
