//! Converts the position of a JSON error to the path of keys that lead to it.

/// An object or list that contains the position.
enum Container {
    /// An object, at the value of this key; `None` before a key.
    Object(Option<String>),
    /// A list, at the entry with this index.
    List(usize),
}

/// Returns the path to a position, such as `settings.profiles[2].window`, or `the top` for the outermost level. `line`
/// and `column` count from 1; the text must be well-formed up to there.
pub(super) fn path(text: &str, line: usize, column: usize) -> String {
    let start: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let end = (start + column.saturating_sub(1)).min(text.len());
    let bytes = text.as_bytes();
    let mut containers = Vec::new();
    let mut at = 0;
    while at < end {
        match bytes[at] {
            b'{' => containers.push(Container::Object(None)),
            b'[' => containers.push(Container::List(0)),
            b'}' | b']' => drop(containers.pop()),
            b',' => match containers.last_mut() {
                Some(Container::Object(key)) => *key = None,
                Some(Container::List(entry)) => *entry += 1,
                None => {}
            },
            b'"' => {
                let length = string_length(&bytes[at..]);
                if let Some(Container::Object(key @ None)) = containers.last_mut() {
                    let name = &bytes[at + 1..(at + length).saturating_sub(1).max(at + 1)];
                    *key = Some(String::from_utf8_lossy(name).into_owned());
                }
                at += length - 1;
            }
            _ => {}
        }
        at += 1;
    }
    // An error at the end of an object means that a key is missing, so the last key is not part of the path.
    if bytes.get(end) == Some(&b'}')
        && let Some(Container::Object(key)) = containers.last_mut()
    {
        *key = None;
    }
    joined(&containers)
}

/// Returns the length of the string literal at the start of `bytes`, including its quotes.
fn string_length(bytes: &[u8]) -> usize {
    let mut at = 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    (at + 1).min(bytes.len())
}

fn joined(containers: &[Container]) -> String {
    let mut path = String::new();
    for container in containers {
        match container {
            Container::Object(Some(key)) if path.is_empty() => path.push_str(key),
            Container::Object(Some(key)) => path.push_str(&format!(".{key}")),
            Container::Object(None) => {}
            Container::List(entry) => path.push_str(&format!("[{entry}]")),
        }
    }
    if path.is_empty() { "the top".to_string() } else { path }
}
