use super::*;

/// Parses all lines of these bytes, received in pieces of `piece` bytes.
fn lines(bytes: &[u8], piece: usize) -> io::Result<Vec<Line>> {
    let (mut lines, mut all) = (Lines::new(&BufferPool::new(1)), Vec::new());
    let mut remaining = bytes;
    while !remaining.is_empty() {
        let space = lines.space()?;
        let len = remaining.len().min(space.len()).min(piece);
        space[..len].copy_from_slice(&remaining[..len]);
        lines.filled(len);
        remaining = &remaining[len..];
        while let Some(line) = lines.next()? {
            all.push(line);
        }
    }
    Ok(all)
}

/// Guards against a link that ends at a remark whose text is not UTF-8, and again when the remark is repeated.
#[test]
fn skips_a_remark_with_any_bytes() {
    let parsed = parse(b"remark 7 \xff\xfe 12\r\nused 1 0.5\r\n", &BufferPool::new(1)).expect("a remark");
    assert!(matches!(parsed, Some(ParsedLine { bytes: 16, line: Line::Remark { notice: 7 } })), "{parsed:?}");
    assert!(parse(b"remark x \r\n", &BufferPool::new(1)).is_err());
}

/// Guards against a remark that ends the link or hides the next line, whatever its length and the size of the pieces.
#[test]
fn skips_a_remark_of_any_length() {
    for length in (0..3).chain(4_595..4_612).chain([9_200, 70_000]) {
        for piece in [113, 4_607, 4_608, usize::MAX] {
            let text = "\rx".repeat(length / 2 + 1);
            let bytes = format!("remark 7 {}\r\nreject begin r1\r\n", &text[..length]);
            let lines = lines(bytes.as_bytes(), piece).unwrap_or_else(|e| panic!("{length} by {piece}: {e}"));
            assert!(
                matches!(&lines[..], [Line::Remark { notice: 7 }, Line::RunRejected { .. }]),
                "{length} by {piece}: {lines:?}"
            );
        }
    }
    // Other lines may not be longer than a buffer, and a remark needs a number.
    for start in ["remark seven ", "remark ", "used 1 "] {
        assert!(lines(format!("{start}{}\r\n", "9".repeat(5_000)).as_bytes(), 100).is_err(), "{start}");
    }
}
