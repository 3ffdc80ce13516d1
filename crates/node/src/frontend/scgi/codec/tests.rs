use super::decoder::MAX_NAME_BYTES;
use super::*;
use proptest::prelude::*;

fn decode(bytes: &[u8]) -> Result<Option<Request>, ScgiError> {
    Decoder::new(["A".to_string(), "B".to_string()]).feed(bytes).map(|fed| fed.request)
}

/// The netstring of a header block in which `|` stands for NUL.
fn block(text: &str) -> Vec<u8> {
    [format!("{}:", text.len()).as_bytes(), text.replace('|', "\0").as_bytes(), b","].concat()
}

#[test]
fn decodes_a_request_and_skips_headers_that_are_not_required() {
    let bytes = encode(&[("A", "one"), ("OTHER", "x"), ("B", "")], b"body");
    let request = decode(&bytes).unwrap().unwrap();
    assert_eq!((request.header("A"), request.header("B")), (Some(&b"one"[..]), Some(&b""[..])));
    assert_eq!((request.header("OTHER"), &request.body[..]), (None, &b"body"[..]));
    // The example of the specification.
    let example = b"70:CONTENT_LENGTH\x0027\0SCGI\x001\0REQUEST_METHOD\0POST\0REQUEST_URI\0/deepthought\0,What is the answer to life?";
    assert_eq!(decode(example).unwrap().unwrap().body, b"What is the answer to life?");
}

#[test]
fn distinguishes_all_errors() {
    let cases: [(&[u8], ScgiError); 14] = [
        (b"-5:", ScgiError::NetstringLength),
        (b":", ScgiError::NetstringLength),
        (b"007:", ScgiError::NetstringLength),
        (b"0:,", ScgiError::NetstringLength),
        (b"99999999999999999999", ScgiError::HeadersTooLong),
        (b"16385:", ScgiError::HeadersTooLong),
        (b"12x", ScgiError::NetstringLength),
        (&block("SCGI|1|CONTENT_LENGTH|0|"), ScgiError::MissingContentLength),
        (&block("CONTENT_LENGTH|-1|SCGI|1|"), ScgiError::ContentLength),
        (&block("CONTENT_LENGTH||SCGI|1|"), ScgiError::ContentLength),
        (&block("CONTENT_LENGTH|0|CONTENT_LENGTH|0|"), ScgiError::DuplicateHeader),
        (&block("CONTENT_LENGTH|2049|SCGI|1|"), ScgiError::BodyTooLong),
        (&block("CONTENT_LENGTH|0|SCGI|2|"), ScgiError::Version),
        (&block("CONTENT_LENGTH|0|A|1|"), ScgiError::Version),
    ];
    for (bytes, error) in cases {
        assert_eq!(decode(bytes), Err(error), "{}", String::from_utf8_lossy(bytes));
    }
    for text in [
        "CONTENT_LENGTH|0|SCGI|1",
        "CONTENT_LENGTH|0|SCGI|1|A",
        "CONTENT_LENGTH|0||1|",
        "CONTENT_LENGTH|0|A|",
    ] {
        assert_eq!(decode(&block(text)), Err(ScgiError::Headers), "{text}");
    }
    let mut no_comma = block("CONTENT_LENGTH|0|SCGI|1|");
    *no_comma.last_mut().unwrap() = b';';
    assert_eq!(decode(&no_comma), Err(ScgiError::Headers));
    let long = format!("CONTENT_LENGTH|0|SCGI|1|A|{}|", "x".repeat(MAX_RETAINED_BYTES));
    assert_eq!(decode(&block(&long)), Err(ScgiError::HeadersTooLong));
    let skipped = format!("CONTENT_LENGTH|0|SCGI|1|OTHER|{}|", "x".repeat(MAX_RETAINED_BYTES));
    assert!(decode(&block(&skipped)).unwrap().is_some(), "skipped headers may be long");
}

fn fed(bytes: &[u8], cuts: &[usize]) -> (Result<Option<Request>, ScgiError>, usize) {
    let mut decoder = Decoder::new(["A".to_string(), "B".to_string()]);
    let (mut from, mut held) = (0, 0);
    for to in cuts.iter().map(|cut| cut % (bytes.len() + 1)).chain([bytes.len()]) {
        let to = to.max(from);
        match decoder.feed(&bytes[from..to]) {
            Ok(FeedResult { request: Some(request), .. }) => return (Ok(Some(request)), held),
            Ok(FeedResult { request: None, .. }) => {}
            Err(error) => return (Err(error), held),
        }
        held = held.max(decoder.held_bytes());
        from = to;
    }
    (Ok(None), held)
}

proptest! {
    /// The result doesn't depend on how the stream is split into pieces.
    #[test]
    fn decodes_the_same_in_any_pieces(
        a in "[ -~]{0,40}", other in "[ -~]{0,200}", body in prop::collection::vec(any::<u8>(), 0..300),
        noise in prop::option::of((0_usize..400, any::<u8>())), mut cuts in prop::collection::vec(0_usize..800, 0..12),
    ) {
        let mut bytes = encode(&[("A", &a), ("OTHER", &other)], &body);
        if let Some((offset, byte)) = noise {
            let offset = offset % bytes.len();
            bytes[offset] = byte;
        }
        cuts.sort_unstable();
        prop_assert_eq!(fed(&bytes, &cuts).0, fed(&bytes, &[]).0);
    }

    /// Arbitrary bytes never cause a panic or memory use beyond the limits.
    #[test]
    fn neither_panics_nor_holds_more_than_its_limits(
        bytes in prop::collection::vec(any::<u8>(), 0..600), start in prop::sample::select(vec!["", "500:", "500:CONTENT_LENGTH\0"]),
    ) {
        let bytes = [start.as_bytes(), &bytes].concat();
        let cuts: Vec<usize> = (0..bytes.len()).step_by(7).collect();
        let (_, held) = fed(&bytes, &cuts);
        prop_assert!(held <= MAX_RETAINED_BYTES + MAX_BODY_BYTES + 2 * MAX_NAME_BYTES + 64, "{held}");
    }
}
