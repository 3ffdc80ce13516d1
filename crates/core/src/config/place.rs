//! Where in a JSON text something is wrong, as people look for it: by the keys that lead there.

/// What the text is inside of.
enum Inside {
    /// An object, at the value of a key or, with none, before one.
    Object(Option<String>),
    /// A list, at its entry of this number.
    List(usize),
}

/// The keys that lead to a place of the text, by its line and column from 1, as in `settings.profiles[2].window`; `the
/// top` where none does. The text is well-formed up to there.
pub fn path(text: &str, line: usize, column: usize) -> String {
    let start: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let end = (start + column.saturating_sub(1)).min(text.len());
    let bytes = text.as_bytes();
    let mut inside = Vec::new();
    let mut at = 0;
    while at < end {
        match bytes[at] {
            b'{' => inside.push(Inside::Object(None)),
            b'[' => inside.push(Inside::List(0)),
            b'}' | b']' => drop(inside.pop()),
            b',' => match inside.last_mut() {
                Some(Inside::Object(key)) => *key = None,
                Some(Inside::List(entry)) => *entry += 1,
                None => {}
            },
            b'"' => {
                let string = string(&bytes[at..]);
                if let Some(Inside::Object(key @ None)) = inside.last_mut() {
                    let name = &bytes[at + 1..(at + string).saturating_sub(1).max(at + 1)];
                    *key = Some(String::from_utf8_lossy(name).into_owned());
                }
                at += string - 1;
            }
            _ => {}
        }
        at += 1;
    }
    // At the end of an object something is missing in it, whatever key came last.
    if bytes.get(end) == Some(&b'}')
        && let Some(Inside::Object(key)) = inside.last_mut()
    {
        *key = None;
    }
    shown(&inside)
}

/// The length of the string that a text begins with, with its quotes.
fn string(bytes: &[u8]) -> usize {
    let mut at = 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    (at + 1).min(bytes.len())
}

fn shown(inside: &[Inside]) -> String {
    let mut path = String::new();
    for inside in inside {
        match inside {
            Inside::Object(Some(key)) if path.is_empty() => path.push_str(key),
            Inside::Object(Some(key)) => path.push_str(&format!(".{key}")),
            Inside::Object(None) => {}
            Inside::List(entry) => path.push_str(&format!("[{entry}]")),
        }
    }
    if path.is_empty() { "the top".to_string() } else { path }
}
