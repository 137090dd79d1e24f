//! Keys and messages: whatever bytes come in, the codec gives a value or a typed error.

use cuminkeel_outcome::{event, event::OutcomePolicy, key, ledger, message, settings};
use cuminkeel_types::{names, time};
use proptest::{prelude::*, test_runner};

const MESH_KEY: &[u8] = b"mesh";

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

fn any_key() -> impl Strategy<Value = key::SubmissionKey> {
    let incarnation = || any::<u64>().prop_map(names::IncarnationId);
    let witness = proptest::option::of(incarnation());
    (
        incarnation(),
        any::<u64>(),
        witness,
        "[a-z]{0,40}",
        any::<u64>(),
    )
        .prop_map(
            |(authority, sequence, witness, customer, micros)| key::SubmissionKey {
                id: key::KeyId {
                    authority,
                    sequence,
                },
                witness,
                customer: customer.as_str().into(),
                expires_at: time::TimePoint::from_micros(micros),
            },
        )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_sealed_key_opens_only_unchanged_and_in_its_mesh(
        key in any_key(),
        at in any::<prop::sample::Index>(),
        letter in "[A-Za-z0-9_-]",
    ) {
        let sealer = key::KeySealer::new(MESH_KEY);
        let text = sealer.seal(&key);
        prop_assert_eq!(sealer.open(&text), Ok(key));
        let other = key::KeySealer::new(b"other");
        prop_assert_eq!(other.open(&text), Err(key::KeyError::Forged));
        prop_assert!(other.accept(MESH_KEY).open(&text).is_ok());
        let at = at.index(text.len());
        let changed = format!("{}{letter}{}", &text[..at], &text[at + 1..]);
        prop_assert_eq!(sealer.open(&changed).is_ok(), *changed == *text);
        prop_assert!(sealer.open(&text[..at]).is_err());
    }

    #[test]
    fn any_text_is_a_key_or_a_typed_error(text in ".{0,600}") {
        prop_assert!(key::KeySealer::new(MESH_KEY).open(&text).is_err());
    }

    #[test]
    fn any_bytes_are_a_message_or_are_counted(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        let rack = names::RackName::new("rack");
        let settings = settings::LedgerSettings::new(names::IncarnationId(1), rack, MESH_KEY);
        let mut ledger = ledger::OutcomeLedger::new(settings, [0; 32]);
        for payload in [bytes.clone(), [vec![1], bytes].concat()] {
            let readable = message::PeerMessage::decode(&payload).is_ok();
            let before = ledger.stats().messages_rejected;
            let from = names::IncarnationId(2);
            let event = event::OutcomeEvent::PeerMessage { from, payload };
            ledger.handle(time::TimePoint::ZERO, event, &mut Vec::new());
            prop_assert!(readable || ledger.stats().messages_rejected > before);
        }
    }

    #[test]
    fn a_message_reads_back(ticket in any::<u64>(), key in any_key(), cut in any::<prop::sample::Index>()) {
        let ticket = event::TicketId(ticket);
        let message = message::PeerMessage::Accepted { ticket, key: key.id };
        let bytes = message.encode().expect("a message is encoded");
        prop_assert_eq!(message::PeerMessage::decode(&bytes), Ok(message));
        prop_assert!(message::PeerMessage::decode(&bytes[..cut.index(bytes.len())]).is_err());
        let longer = [bytes.as_slice(), &[0]].concat();
        prop_assert_eq!(
            message::PeerMessage::decode(&longer),
            Err(message::MessageError::Malformed)
        );
        let version = 9;
        let newer = [&[version], &bytes[1..]].concat();
        prop_assert_eq!(
            message::PeerMessage::decode(&newer),
            Err(message::MessageError::UnknownVersion { version })
        );
    }
}
