//! HTTP/1.1 of the admin endpoint, one request per connection: parses request heads with `httparse` and encodes
//! responses. No I/O.

/// Maximum size of a request head.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum size of a body, which is a configuration or a command.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 32;

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// The allowed methods; only in the response to a method that is not allowed.
    pub allow: Option<&'static str>,
    /// MIME type of the body.
    pub content_type: &'static str,
    /// The body, which is omitted in the response to HEAD.
    pub body: String,
}

impl Response {
    /// Creates a response with plain text.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self { status, allow: None, content_type: "text/plain; charset=utf-8", body: body.into() }
    }

    /// Creates a response with JSON.
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self { status, allow: None, content_type: "application/json", body: body.into() }
    }

    /// Encodes the response, without the body if `head_only`. The connection is closed after it.
    pub fn bytes(&self, head_only: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        if let Some(allow) = self.allow {
            head.push_str(&format!("Allow: {allow}\r\n"));
        }
        head.push_str(&format!(
            "Content-Type: {}\r\nContent-Length: {}\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n",
            self.content_type,
            self.body.len()
        ));
        let mut bytes = head.into_bytes();
        if !head_only {
            bytes.extend_from_slice(self.body.as_bytes());
        }
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

/// A complete request head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Length of the head in bytes, including the empty line.
    pub head_bytes: usize,
    /// Length of the body that follows, in bytes.
    pub body_bytes: usize,
    /// The method, as sent.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query after the `?`; empty if there is none.
    pub query: String,
}

impl RequestHead {
    /// Whether the response must have no body.
    pub fn is_head_request(&self) -> bool {
        self.method == "HEAD"
    }
}

/// Parses the request head at the start of these bytes; `None` while it is incomplete.
///
/// # Errors
/// The error response, if the bytes are no HTTP request or exceed a limit.
pub fn parse_head(bytes: &[u8]) -> Result<Option<RequestHead>, Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_bytes = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => {
            let text = format!("expected a request head of at most {MAX_HEAD_BYTES} bytes\n");
            return Err(Response::text(400, text));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(Response::text(400, format!("expected an HTTP/1.1 request: {e}\n"))),
    };
    let body_bytes = body_length(request.headers)?;
    let target = request.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(RequestHead {
        head_bytes,
        body_bytes,
        method: request.method.unwrap_or_default().to_string(),
        path: path.to_string(),
        query: query.to_string(),
    }))
}

/// Length of the body in bytes, according to the headers.
fn body_length(headers: &[httparse::Header<'_>]) -> Result<usize, Response> {
    let value = |name: &str| {
        headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    };
    if value("transfer-encoding").is_some() {
        return Err(Response::text(400, "expected a body with Content-Length, not Transfer-Encoding\n"));
    }
    let Some(length) = value("content-length") else { return Ok(0) };
    let length = std::str::from_utf8(length).ok().and_then(|text| text.trim().parse::<usize>().ok());
    let length = length.ok_or_else(|| Response::text(400, "expected Content-Length to be a number\n"))?;
    if length > MAX_BODY_BYTES {
        return Err(Response::text(413, format!("expected a body of at most {MAX_BODY_BYTES} bytes\n")));
    }
    Ok(length)
}

#[cfg(test)]
mod tests;
