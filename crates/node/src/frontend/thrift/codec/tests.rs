use super::super::call_fields::MAX_BODY_BYTES;
use super::super::wire::MAX_NESTING;
use super::*;
use crate::frontend::InvalidRequest;
use crate::frontend::STACK_BYTES;
use gradepin_admission::Settings;
use proptest::prelude::*;
use std::thread;

const LIST: u8 = 15;

fn string(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes()[..], bytes].concat()
}

/// A message without the length prefix of its frame.
fn message(kind: u8, name: &str, seq: i32, arguments: &[u8]) -> Vec<u8> {
    let head = (VERSION | u32::from(kind)).to_be_bytes();
    [&head[..], &string(name.as_bytes()), &seq.to_be_bytes(), arguments, &[0]].concat()
}

fn map(fields: &[(&str, &[u8])]) -> Vec<u8> {
    let pairs = fields.iter().flat_map(|(name, value)| [string(name.as_bytes()), string(value)].concat());
    let head = [&[MAP, 0, 1, STRING, STRING][..], &(fields.len() as u32).to_be_bytes()].concat();
    [head, pairs.collect()].concat()
}

fn body(bytes: &[u8]) -> Vec<u8> {
    [&[STRING, 0, 2][..], &string(bytes)].concat()
}

fn active_settings() -> ActiveSettings {
    let read = serde_json::json!({"name": "read", "promise": 1, "deadline": 1_000_000_000_u64, "effect": "repeatable",
                                  "worth": 1.0});
    let profiles = serde_json::json!([read]);
    let settings = Settings { profiles: serde_json::from_value(profiles).unwrap(), ..Settings::default() };
    ActiveSettings::new(&settings)
}

const USUAL_FIELDS: [(&str, &[u8]); 6] = [
    ("method", b"read"),
    ("rid", b"00000000000000ab"),
    ("t0", b"17"),
    ("budget", b"480"),
    ("mem", b"24.5"),
    ("prio", b"0.625"),
];

/// Sequence number, id and body of a call, if these bytes are a valid one.
fn decoded_call(bytes: &[u8]) -> Option<(SequenceId, String, Vec<u8>)> {
    match decode(bytes, &active_settings(), &BufferPool::new(1)) {
        Ok(DecodedMessage::Request { sequence, request }) => {
            Some((sequence, request.id.0.to_string(), request.body.to_vec()))
        }
        _ => None,
    }
}

/// Runs a test on a thread with the stack size of the reading thread.
fn run_with_reading_thread_stack(test: impl FnOnce() + Send + 'static) {
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(test)
        .unwrap()
        .join()
        .expect("the test doesn't panic");
}

/// Nested containers of one kind; `depth` is 0 for a single one.
fn nested(kind: u8, depth: usize) -> Vec<u8> {
    let inner = |kind| if depth == 0 { vec![0; 4] } else { nested(kind, depth - 1) };
    let element = if depth == 0 { I32 } else { kind };
    match kind {
        STRUCT => [&[element, 0, 1][..], &inner(kind), &[0]].concat(),
        MAP => [&[2, element, 0, 0, 0, 1, 1][..], &inner(kind)].concat(),
        _ => [&[element, 0, 0, 0, 1][..], &inner(kind)].concat(),
    }
}

/// Guards against a stack overflow of the reading thread: values nested up to the limit are skipped, deeper ones, up to
/// what fits in a frame, are rejected.
#[test]
fn skips_or_rejects_nested_values_on_the_stack_of_the_reading_thread() {
    let mut cases = Vec::new();
    for kind in [STRUCT, MAP, 14, LIST] {
        for depth in 0..700 {
            let extra = [&[kind, 0, 9][..], &nested(kind, depth)].concat();
            let bytes = message(CALL, "call", 7, &[&extra[..], &map(&USUAL_FIELDS), &body(b"in")].concat());
            cases.extend((bytes.len() <= BUFFER_BYTES).then_some((kind, depth, bytes)));
        }
    }
    run_with_reading_thread_stack(move || {
        for (kind, depth, bytes) in cases {
            let accepted = decoded_call(&bytes).is_some();
            assert_eq!(accepted, depth + 1 < MAX_NESTING, "kind {kind}, depth {depth}");
        }
    });
}

/// Guards against rejecting or misreading a valid call because of the freedom that the protocol leaves: the order of
/// fields, unknown fields, and an empty or absent body.
#[test]
fn decodes_a_call_in_every_form_that_the_protocol_allows() {
    let (fields, more) =
        (map(&USUAL_FIELDS), [USUAL_FIELDS.as_slice(), &[("novel", b"\0\xc3\xa9\n"), ("", b"")]].concat());
    let extra =
        [&[I32, 0, 8, 0, 0, 0, 1, 10, 0, 9][..], &[0; 8], &[LIST, 0, 10, STRING, 0, 0, 0, 1], &string(b"x")]
            .concat();
    let longest: Vec<u8> = (0..MAX_BODY_BYTES).map(|n| (n % 256) as u8).collect();
    for sent in [&b""[..], b"in", &longest] {
        let forms = [
            [&fields[..], &body(sent)].concat(),
            [&body(sent)[..], &fields].concat(),
            [&extra[..], &map(&more), &extra, &body(sent), &extra].concat(),
        ];
        for form in forms {
            let id = "00000000000000ab".to_string();
            assert_eq!(decoded_call(&message(CALL, "call", -5, &form)), Some((-5, id, sent.to_vec())));
        }
    }
    assert_eq!(decoded_call(&message(CALL, "call", 1, &fields)).map(|(.., body)| body), Some(Vec::new()));
    let long = decode(
        &message(CALL, "call", 1, &[&fields[..], &body(&[7; MAX_BODY_BYTES + 1])].concat()),
        &active_settings(),
        &BufferPool::new(1),
    );
    assert!(
        matches!(
            long,
            Ok(DecodedMessage::Invalid {
                sequence: 1,
                invalid: InvalidRequest { error: RequestError::BodyTooLarge, .. }
            })
        ),
        "{long:?}"
    );
}

/// Guards against trusting a length: every four bytes of a message are replaced by negative, huge and too large
/// lengths.
#[test]
fn rejects_wrong_lengths() {
    let valid = message(CALL, "call", 1, &[&map(&USUAL_FIELDS)[..], &body(b"in")].concat());
    for offset in 0..valid.len() - 4 {
        for length in [-1, i32::MIN, i32::MAX, 4_604, 1 << 24] {
            let mut bytes = valid.clone();
            bytes[offset..offset + 4].copy_from_slice(&length.to_be_bytes());
            if let Some((_, id, body)) = decoded_call(&bytes) {
                assert!(id.len() == 16 && body.len() <= MAX_BODY_BYTES);
            }
        }
    }
    for len in [0_u32, 1, BUFFER_BYTES as u32 - 4] {
        assert_eq!(frame(&len.to_be_bytes()), Ok(Some(len as usize + 4)));
    }
    for len in [BUFFER_BYTES as u32 - 3, i32::MAX as u32, u32::MAX, 1 << 31] {
        assert!(frame(&len.to_be_bytes()).is_err(), "{len}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a panic on arbitrary bytes or on a corrupted call, and against a body that differs from the one
    /// sent.
    #[test]
    fn decodes_or_rejects_arbitrary_bytes(
        noise in prop::collection::vec(any::<u8>(), 0..200),
        sent in prop::collection::vec(any::<u8>(), 0..200),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 0..6),
    ) {
        let _ = decode(&noise, &active_settings(), &BufferPool::new(1));
        let headed = message(CALL, "call", 1, &noise);
        let _ = decode(&headed, &active_settings(), &BufferPool::new(1));
        let usual = message(CALL, "call", 1, &[&map(&USUAL_FIELDS)[..], &body(&sent)].concat());
        prop_assert_eq!(decoded_call(&usual).map(|(.., body)| body), Some(sent));
        let mut bytes = usual;
        for (offset, byte, operation) in changes {
            let offset = offset.index(bytes.len());
            match operation {
                0 => bytes[offset] = byte,
                1 => bytes.insert(offset, byte),
                _ if bytes.len() > 1 => drop(bytes.remove(offset)),
                _ => {}
            }
        }
        if let Some((_, id, body)) = decoded_call(&bytes) {
            prop_assert!(id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()) && body.len() <= MAX_BODY_BYTES);
        }
    }
}
