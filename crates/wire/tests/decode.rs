//! Invalid input from peers gives a typed error and never a panic.

use bytes::Bytes;
use proptest::prelude::*;
use tamaracksail_model::id::{Attempt, Incarnation, Version};
use tamaracksail_wire::{self as wire, Error, Frame, Message};

fn frame() -> impl Strategy<Value = Frame> {
    (
        any::<u64>(),
        any::<u64>(),
        any::<u64>(),
        any::<Option<u64>>(),
        any::<Vec<u8>>(),
    )
        .prop_map(|(entry, number, offset, version, bytes)| Frame::Data {
            attempt: Attempt {
                entry: Incarnation(entry),
                number,
            },
            offset,
            version: version.map(Version),
            bytes: Bytes::from(bytes),
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_encoded_message_is_decoded_unchanged(frame in frame()) {
        let message = Message::Frame(frame);
        prop_assert_eq!(wire::decode::<Message>(&wire::encode(&message)).ok(), Some(message));
    }

    #[test]
    fn a_truncated_message_is_an_error(frame in frame(), cut in any::<prop::sample::Index>()) {
        let bytes = wire::encode(&Message::Frame(frame));
        let truncated = &bytes[..cut.index(bytes.len())];
        prop_assert!(wire::decode::<Message>(truncated).is_err());
    }

    #[test]
    fn bytes_after_a_message_are_an_error(frame in frame(), extra in 1..20usize) {
        let mut bytes = wire::encode(&Message::Frame(frame));
        bytes.extend(vec![0; extra]);
        let is_trailing = matches!(wire::decode::<Message>(&bytes), Err(Error::Trailing(n)) if n == extra);
        prop_assert!(is_trailing);
    }

    #[test]
    fn any_bytes_give_a_message_or_an_error(bytes in any::<Vec<u8>>()) {
        drop(wire::decode::<Message>(&bytes));
        drop(wire::decode::<wire::Attempt>(&bytes));
    }
}

#[test]
fn other_revisions_oversized_messages_and_unknown_fields_are_rejected() {
    let revoke = wire::Revoke {
        attempt: Attempt::default(),
        agent: Incarnation(1),
    };
    let mut other_revision = wire::encode(&revoke);
    other_revision[0] -= 1;
    let oversized = vec![1; wire::codec::MAX_BYTES + 1];
    // The response to a revocation has a field that the revocation doesn't have.
    let revoked = wire::Revoked {
        attempt: Attempt::default(),
        not_run: true,
    };
    let unknown_field = wire::encode(&revoked);
    let errors: Vec<String> = [&other_revision, &oversized, &unknown_field, &Vec::new()]
        .into_iter()
        .map(|bytes| {
            wire::decode::<wire::Revoke>(bytes)
                .expect_err("the message is invalid")
                .to_string()
        })
        .collect();
    insta::assert_debug_snapshot!(errors);
}
