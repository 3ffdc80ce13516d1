//! The client's side of SCGI, for load generators and tests: encodes requests and decodes responses.

/// Encodes a request as a client sends it: `CONTENT_LENGTH` and `SCGI` first, then these headers.
pub fn encode(headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let body_bytes = body.len().to_string();
    let required = [("CONTENT_LENGTH", body_bytes.as_str()), ("SCGI", "1")];
    let head: Vec<u8> = required
        .iter()
        .chain(headers)
        .flat_map(|(name, value)| [name.as_bytes(), &[0], value.as_bytes(), &[0]].concat())
        .collect();
    [format!("{}:", head.len()).as_bytes(), &head, b",", body].concat()
}

/// A response as a client receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScgiResponse {
    /// HTTP status code.
    pub status: u16,
    /// Names in lower case and their values, in the order sent.
    pub headers: Vec<(String, String)>,
    /// The body, as long as `Content-Length` says.
    pub body: Vec<u8>,
}

impl ScgiResponse {
    /// Parses all bytes received on a connection; `None` if they are no complete response.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = std::str::from_utf8(&bytes[..end]).ok()?;
        let headers: Vec<(String, String)> = head
            .split("\r\n")
            .map(|line| line.split_once(": ").map(|(name, value)| (name.to_lowercase(), value.to_string())))
            .collect::<Option<_>>()?;
        let status = find(&headers, "status")?.split(' ').next()?.parse().ok()?;
        let body_bytes: usize = find(&headers, "content-length")?.parse().ok()?;
        let body = bytes[end + 4..].to_vec();
        (body.len() == body_bytes).then_some(Self { status, headers, body })
    }

    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
}
