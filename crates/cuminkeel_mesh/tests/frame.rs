//! Frames: what is accepted, what is refused, and how two releases mix.

use std::collections;

use cuminkeel_mesh::{border, frame, membership::message, sequence};
use cuminkeel_types::names;
use proptest::{prelude::*, test_runner};

const FROM: names::IncarnationId = names::IncarnationId(0x1122_3344_5566_7788);
const TO: names::IncarnationId = names::IncarnationId(42);
const KIND: frame::FrameKind = frame::FrameKind::Topic(border::MeshTopic::Outcome);
const KIND_OFFSET: usize = 1;

fn ring(secrets: &[&str]) -> frame::KeyRing {
    frame::KeyRing::new(secrets.iter().map(|it| frame::MeshKey::from_secret(it))).unwrap()
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn written(secrets: &[&str], body: &[u8]) -> Vec<u8> {
    frame::encode(&ring(secrets), KIND, FROM, TO, 7, body).unwrap()
}

/// Signs bytes as a release would that changed them before signing.
fn forged(secret: &str, change: impl Fn(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = written(&[secret], b"body");
    bytes.truncate(bytes.len() - frame::MAC_BYTES);
    change(&mut bytes);
    let key = blake3::derive_key("cuminkeel mesh frame key v1", secret.as_bytes());
    let mut hasher = blake3::Hasher::new_keyed(&key);
    hasher.update(&bytes);
    hasher.update(&TO.0.to_le_bytes());
    bytes.extend_from_slice(&hasher.finalize().as_bytes()[..frame::MAC_BYTES]);
    bytes
}

#[test]
fn keys_roll_over_without_a_gap() {
    let cases: [(&[&str], &[&str], bool); 6] = [
        (&["old"], &["old"], true),
        (&["old"], &["old", "new"], true),
        (&["old", "new"], &["new", "old"], true),
        (&["new", "old"], &["old", "new"], true),
        (&["new"], &["new", "old"], true),
        (&["old"], &["new"], false),
    ];
    for (writer, reader, readable) in cases {
        let bytes = written(writer, b"body");
        let result = frame::decode(&ring(reader), TO, &bytes);
        assert_eq!(result.is_ok(), readable, "{writer:?} read with {reader:?}");
    }
    assert!(matches!(
        frame::KeyRing::new([]),
        Err(frame::KeyError::Empty)
    ));
    let five = ["a", "b", "c", "d", "e"].map(frame::MeshKey::from_secret);
    assert!(matches!(
        frame::KeyRing::new(five),
        Err(frame::KeyError::TooMany)
    ));
}

#[test]
fn frames_of_the_next_release_are_read_and_unknown_kinds_told_apart() {
    let next = frame::FRAME_VERSION + 1;
    let later = frame::FRAME_VERSION + 2;
    let version = |error| match error {
        frame::FrameError::Version { version } => Some(version),
        _ => None,
    };
    let keys = ring(&["key"]);
    let bytes = forged("key", |bytes| bytes[0] = next);
    assert_eq!(frame::decode(&keys, TO, &bytes).unwrap().body, b"body");
    let bytes = forged("key", |bytes| bytes[0] = later);
    let error = frame::decode(&keys, TO, &bytes).unwrap_err();
    assert_eq!(version(error), Some(later));
    let bytes = forged("key", |bytes| bytes[KIND_OFFSET] = 99);
    let error = frame::decode(&keys, TO, &bytes).unwrap_err();
    assert_eq!(error, frame::FrameError::UnknownKind { code: 99 });
    let bytes = forged("other", |bytes| bytes[KIND_OFFSET] = 99);
    let error = frame::decode(&keys, TO, &bytes).unwrap_err();
    assert_eq!(error, frame::FrameError::Unproved);
}

#[test]
fn membership_messages_of_the_next_release_are_read_or_skipped() {
    let ping = message::MembershipMessage::Ping;
    let mut longer = ping.encode().unwrap();
    longer.extend_from_slice(b"appended field");
    assert_eq!(message::MembershipMessage::decode(&longer), Ok(ping));
    let unknown = message::MembershipMessage::decode(&[11, 1, 2]);
    let expected = message::MessageError::UnknownVariant { variant: 11 };
    assert_eq!(unknown, Err(expected));
    let domains = vec![
        message::DomainDigest {
            domain: 1,
            members: 2,
            age_millis: 3,
        };
        message::MAX_DOMAINS_PER_DIGEST + 1
    ];
    let digest = message::MembershipMessage::Digest { domains };
    let decoded = message::MembershipMessage::decode(&digest.encode().unwrap());
    assert_eq!(decoded, Err(message::MessageError::Malformed));
}

#[test]
fn a_frame_is_valid_at_its_receiver_only() {
    let keys = ring(&["key"]);
    let bytes = written(&["key"], b"body");
    let other = frame::decode(&keys, names::IncarnationId(43), &bytes);
    assert_eq!(other, Err(frame::FrameError::Unproved));
    let kind = frame::FrameKind::Introduction;
    let bytes = frame::encode(&keys, kind, FROM, TO, 1, b"body").unwrap();
    assert!(frame::decode(&keys, names::IncarnationId(43), &bytes).is_ok());
}

proptest! {
    #![proptest_config(config(11))]

    #[test]
    fn every_frame_is_read_as_written(
        body in proptest::collection::vec(any::<u8>(), 0..2_000),
        from in any::<u64>(),
        to in any::<u64>(),
        number in any::<u64>(),
    ) {
        let keys = ring(&["key"]);
        let from = names::IncarnationId(from);
        let to = names::IncarnationId(to);
        let bytes = frame::encode(&keys, KIND, from, to, number, &body).unwrap();
        let proved = frame::decode(&keys, to, &bytes).unwrap();
        prop_assert_eq!(proved.kind, KIND);
        prop_assert_eq!((proved.from, proved.sequence), (from, number));
        prop_assert_eq!(proved.body, body);
    }

    #[test]
    fn any_bytes_are_refused_with_a_type(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(frame::decode(&ring(&["key"]), TO, &bytes).is_err());
        // Decodes or fails, but never panics.
        let _ = message::MembershipMessage::decode(&bytes);
    }

    #[test]
    fn a_changed_bit_is_noticed(body in proptest::collection::vec(any::<u8>(), 0..200), at in any::<u32>()) {
        let mut bytes = written(&["key"], &body);
        let bit = at as usize % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(frame::decode(&ring(&["key"]), TO, &bytes).is_err());
    }

    #[test]
    fn no_number_is_accepted_twice(
        steps in proptest::collection::vec((any::<bool>(), 0_u64..2_000), 1..400),
    ) {
        let mut window = sequence::ReplayWindow::default();
        let mut accepted = collections::BTreeSet::new();
        let mut highest = 0;
        for (ahead, distance) in steps {
            let number = if ahead {
                highest + distance
            } else {
                u64::saturating_sub(highest, distance)
            };
            let in_window = number > 0 && highest < number + sequence::WINDOW_FRAMES;
            let fresh = in_window && accepted.insert(number);
            prop_assert_eq!(window.accept(number), fresh, "number {} after {}", number, highest);
            highest = highest.max(number);
        }
    }
}
