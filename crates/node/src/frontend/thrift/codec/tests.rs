use super::*;
use crate::frontend::STACK;
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

fn names() -> ActiveSettings {
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

/// The id and the body of a call, if these bytes are one that can be taken.
fn called(bytes: &[u8]) -> Option<(SequenceId, String, Vec<u8>)> {
    match decode(bytes, &names(), &BufferPool::new(1)) {
        Ok(Message::Call(seq, call)) => Some((seq, call.id.0.to_string(), call.body.to_vec())),
        _ => None,
    }
}

/// Runs a test on as much stack as the reader has.
fn as_the_reader(test: impl FnOnce() + Send + 'static) {
    thread::Builder::new().stack_size(STACK).spawn(test).unwrap().join().expect("it ends");
}

/// Containers of every kind, one in the other, to some depth.
fn nested(kind: u8, depth: usize) -> Vec<u8> {
    let inner = |kind| if depth == 0 { vec![0; 4] } else { nested(kind, depth - 1) };
    let of = if depth == 0 { I32 } else { kind };
    match kind {
        STRUCT => [&[of, 0, 1][..], &inner(kind), &[0]].concat(),
        MAP => [&[2, of, 0, 0, 0, 1, 1][..], &inner(kind)].concat(),
        _ => [&[of, 0, 0, 0, 1][..], &inner(kind)].concat(),
    }
}

/// Guards against a reader that ends with its stack: what is nested as deeply as a frame holds is turned down, and what
/// is nested a little is skipped.
#[test]
fn nested_values_are_skipped_or_turned_down_on_the_readers_stack() {
    let mut cases = Vec::new();
    for kind in [STRUCT, MAP, 14, LIST] {
        for depth in 0..700 {
            let extra = [&[kind, 0, 9][..], &nested(kind, depth)].concat();
            let bytes = message(CALL, "call", 7, &[&extra[..], &map(&USUAL), &body(b"in")].concat());
            cases.extend((bytes.len() <= BUFFER_BYTES).then_some((kind, depth, bytes)));
        }
    }
    as_the_reader(move || {
        for (kind, depth, bytes) in cases {
            let taken = called(&bytes).is_some();
            assert_eq!(taken, depth + 1 < MOST_DEPTH, "kind {kind}, {depth} deep");
        }
    });
}

/// Guards against a usual call that is turned down, or read as another, for what the protocol leaves open: the order of
/// its fields, fields that mean nothing here, and an empty body or none.
#[test]
fn a_call_is_the_same_in_every_form_that_the_protocol_allows() {
    let (fields, more) = (map(&USUAL), [USUAL.as_slice(), &[("novel", b"\0\xc3\xa9\n"), ("", b"")]].concat());
    let extra =
        [&[I32, 0, 8, 0, 0, 0, 1, 10, 0, 9][..], &[0; 8], &[LIST, 0, 10, STRING, 0, 0, 0, 1], &string(b"x")]
            .concat();
    let whole: Vec<u8> = (0..MOST_BODY).map(|n| (n % 256) as u8).collect();
    for sent in [&b""[..], b"in", &whole] {
        let forms = [
            [&fields[..], &body(sent)].concat(),
            [&body(sent)[..], &fields].concat(),
            [&extra[..], &map(&more), &extra, &body(sent), &extra].concat(),
        ];
        for form in forms {
            let id = "00000000000000ab".to_string();
            assert_eq!(called(&message(CALL, "call", -5, &form)), Some((-5, id, sent.to_vec())));
        }
    }
    assert_eq!(called(&message(CALL, "call", 1, &fields)).map(|(.., body)| body), Some(Vec::new()));
    let long = decode(
        &message(CALL, "call", 1, &[&fields[..], &body(&[7; MOST_BODY + 1])].concat()),
        &names(),
        &BufferPool::new(1),
    );
    assert!(matches!(long, Ok(Message::Invalid(1, RequestError::BodyTooLarge, _))), "{long:?}");
}

/// Guards against a length taken at its word: each that a message holds, negative, far over and one too many.
#[test]
fn lengths_that_lie_are_turned_down() {
    let whole = message(CALL, "call", 1, &[&map(&USUAL)[..], &body(b"in")].concat());
    for place in 0..whole.len() - 4 {
        for lie in [-1, i32::MIN, i32::MAX, 4_604, 1 << 24] {
            let mut bytes = whole.clone();
            bytes[place..place + 4].copy_from_slice(&lie.to_be_bytes());
            if let Some((_, id, body)) = called(&bytes) {
                assert!(id.len() == 16 && body.len() <= MOST_BODY);
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

    /// Guards against a reader that ends at what a stranger sends, and against a body that isn't the one sent: whatever
    /// bytes come, and a call with some bytes changed, cut off or put in.
    #[test]
    fn whatever_comes_is_read_or_turned_down(
        noise in prop::collection::vec(any::<u8>(), 0..200),
        sent in prop::collection::vec(any::<u8>(), 0..200),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 0..6),
    ) {
        let _ = decode(&noise, &names(), &BufferPool::new(1));
        let headed = message(CALL, "call", 1, &noise);
        let _ = decode(&headed, &names(), &BufferPool::new(1));
        let usual = message(CALL, "call", 1, &[&map(&USUAL)[..], &body(&sent)].concat());
        prop_assert_eq!(called(&usual).map(|(.., body)| body), Some(sent));
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
        if let Some((_, id, body)) = called(&bytes) {
            prop_assert!(id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()) && body.len() <= MOST_BODY);
        }
    }
}
