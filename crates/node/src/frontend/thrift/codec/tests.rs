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

/// A message without its frame's length.
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

const USUAL: [(&str, &[u8]); 6] = [
    ("method", b"read"),
    ("rid", b"00000000000000ab"),
    ("t0", b"17"),
    ("budget", b"480"),
    ("mem", b"24.5"),
    ("prio", b"0.625"),
];

/// Number, id and body of a call, if these bytes are a valid one.
fn decoded_call(bytes: &[u8]) -> Option<(SequenceId, String, Vec<u8>)> {
    match decode(bytes, &active_settings(), &BufferPool::new(1)) {
        Ok(DecodedMessage::Request { sequence, request }) => {
            Some((sequence, request.id.0.to_string(), request.body.to_vec()))
        }
        _ => None,
    }
}

/// Runs a test on as much stack as the reading thread has.
fn on_the_readers_stack(test: impl FnOnce() + Send + 'static) {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(test).unwrap().join().expect("it ends");
}

/// Nested containers of one kind, to some depth.
fn nested(kind: u8, depth: usize) -> Vec<u8> {
    let inner = |kind| if depth == 0 { vec![0; 4] } else { nested(kind, depth - 1) };
    let of = if depth == 0 { I32 } else { kind };
    match kind {
        STRUCT => [&[of, 0, 1][..], &inner(kind), &[0]].concat(),
        MAP => [&[2, of, 0, 0, 0, 1, 1][..], &inner(kind)].concat(),
        _ => [&[of, 0, 0, 0, 1][..], &inner(kind)].concat(),
    }
}

/// Guards against a stack overflow of the reading thread: values nested as deeply as a frame holds are rejected, and those
/// nested a little are skipped.
#[test]
fn skips_or_rejects_nested_values_on_the_stack_of_the_reading_thread() {
    let mut cases = Vec::new();
    for kind in [STRUCT, MAP, 14, LIST] {
        for depth in 0..700 {
            let extra = [&[kind, 0, 9][..], &nested(kind, depth)].concat();
            let bytes = message(CALL, "call", 7, &[&extra[..], &map(&USUAL), &body(b"in")].concat());
            cases.extend((bytes.len() <= BUFFER_BYTES).then_some((kind, depth, bytes)));
        }
    }
    on_the_readers_stack(move || {
        for (kind, depth, bytes) in cases {
            let taken = decoded_call(&bytes).is_some();
            assert_eq!(taken, depth + 1 < MAX_NESTING, "kind {kind}, {depth} deep");
        }
    });
}

/// Guards against rejecting or misreading a valid call for what the protocol leaves open: the order of its fields,
/// unknown fields, and an empty body or none.
#[test]
fn decodes_a_call_in_every_form_that_the_protocol_allows() {
    let (fields, more) = (map(&USUAL), [USUAL.as_slice(), &[("novel", b"\0\xc3\xa9\n"), ("", b"")]].concat());
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

/// Guards against trusting a length: each one in a message is replaced by a negative, a huge and a slightly larger one.
#[test]
fn rejects_wrong_lengths() {
    let whole = message(CALL, "call", 1, &[&map(&USUAL)[..], &body(b"in")].concat());
    for place in 0..whole.len() - 4 {
        for lie in [-1, i32::MIN, i32::MAX, 4_604, 1 << 24] {
            let mut bytes = whole.clone();
            bytes[place..place + 4].copy_from_slice(&lie.to_be_bytes());
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

    /// Guards against a panic on arbitrary bytes and against a body that isn't the one sent, also for a call with some bytes
    /// changed, removed or inserted.
    #[test]
    fn decodes_or_rejects_arbitrary_bytes(
        noise in prop::collection::vec(any::<u8>(), 0..200),
        sent in prop::collection::vec(any::<u8>(), 0..200),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 0..6),
    ) {
        let _ = decode(&noise, &active_settings(), &BufferPool::new(1));
        let headed = message(CALL, "call", 1, &noise);
        let _ = decode(&headed, &active_settings(), &BufferPool::new(1));
        let usual = message(CALL, "call", 1, &[&map(&USUAL)[..], &body(&sent)].concat());
        prop_assert_eq!(decoded_call(&usual).map(|(.., body)| body), Some(sent));
        let mut bytes = usual;
        for (place, byte, how) in changes {
            let place = place.index(bytes.len());
            match how {
                0 => bytes[place] = byte,
                1 => bytes.insert(place, byte),
                _ if bytes.len() > 1 => drop(bytes.remove(place)),
                _ => {}
            }
        }
        if let Some((_, id, body)) = decoded_call(&bytes) {
            prop_assert!(id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()) && body.len() <= MAX_BODY_BYTES);
        }
    }
}
