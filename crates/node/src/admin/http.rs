//! The door's HTTP/1.1, one call a connection: a request head cut with `httparse`, the call it names, and the
//! bytes of a response. Reads and writes nothing itself.

use super::configuration;
use gradepin_config::admin::{AdminError, query};
use gradepin_core::admin::{AdminRequest, AgreementRequest};
use gradepin_core::configuration::ConfigurationAdminRequest;

/// Bytes of a request head at the most; more is a malformed request.
pub const HEAD_MOST: usize = 8 * 1024;
/// Bytes of a body at the most: a whole configuration, or an order.
pub const BODY_MOST: usize = 256 * 1024;
/// Headers of a request at the most.
const HEADERS: usize = 32;

/// A response: status, its reason phrase, the methods allowed where the method was wrong, the type and the body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub allow: Option<&'static str>,
    pub content_type: &'static str,
    pub body: String,
}

impl Response {
    /// Plain text.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self { status, allow: None, content_type: "text/plain; charset=utf-8", body: body.into() }
    }

    /// The bytes on the wire; a response to HEAD has no body. The connection ends with it.
    pub fn bytes(&self, head_only: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
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

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        408 => "Request Timeout",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

/// What is called: by the head alone, or with what the body says.
#[derive(Debug, Clone, PartialEq)]
pub enum Called {
    /// The head says all.
    Plain(AdminRequest),
    /// An order for the fleet's council, as JSON.
    Order,
    /// A change of the committed configuration, as JSON.
    ConfigurationApply,
    /// Settings to be staged, as a whole configuration.
    Stage,
}

/// What a whole request head says.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// Its length in bytes, with the empty line.
    pub len: usize,
    /// Bytes of the body that follow.
    pub body: usize,
    /// Whether it asks for the head of the response alone.
    pub head_only: bool,
    /// The call, or the response that says why there is none.
    pub call: Result<Called, Response>,
}

/// The head at the start of these bytes; none while it is not whole, and a response where the bytes are no HTTP
/// request or too long.
pub fn head(bytes: &[u8]) -> Result<Option<Head>, Response> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let len = match request.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_MOST => {
            return Err(Response::text(
                400,
                format!("expected a request head of at most {HEAD_MOST} bytes\n"),
            ));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(Response::text(400, format!("expected an HTTP/1.1 request: {e}\n"))),
    };
    let header =
        |name: &str| request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
    if header("transfer-encoding").is_some() {
        return Err(Response::text(400, "expected a body with Content-Length, not Transfer-Encoding\n"));
    }
    let body = match header("content-length") {
        None => 0,
        Some(value) => {
            let value = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse::<usize>().ok());
            value.ok_or_else(|| Response::text(400, "expected Content-Length to be a number\n"))?
        }
    };
    if body > BODY_MOST {
        return Err(Response::text(413, format!("expected a body of at most {BODY_MOST} bytes\n")));
    }
    let method = request.method.unwrap_or_default();
    let path = request.path.unwrap_or_default();
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    Ok(Some(Head { len, body, head_only: method == "HEAD", call: route(method, path, query) }))
}

/// The value of a name in a query, as it stands there: none of ours needs an escape.
fn value<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

/// The call that a method, a path and a query name.
pub fn route(method: &str, path: &str, query: &str) -> Result<Called, Response> {
    let bad =
        |what: &str| Response::text(400, format!("expected {what}, as in {path}?{what}, got '{query}'\n"));
    let plain = |call| Ok(Called::Plain(call));
    let agreed = |call| plain(AdminRequest::Agreement(call));
    let (called, allow) = match path {
        "/healthcheck" => (plain(AdminRequest::Health), "GET, HEAD"),
        "/stats" => (plain(AdminRequest::Stats), "GET, HEAD"),
        "/fleet" => (plain(AdminRequest::Fleet), "GET, HEAD"),
        "/healthcheck/fail" => (plain(AdminRequest::StartDrain), "POST"),
        "/healthcheck/ok" => (plain(AdminRequest::EndDrain), "POST"),
        "/fleet/status" => (agreed(AgreementRequest::Status), "GET, HEAD"),
        "/fleet/order" if method == "GET" => {
            let ticket = value(query, "ticket").and_then(|text| text.parse().ok());
            (
                ticket.ok_or_else(|| bad("ticket=1")).map(|of| {
                    Called::Plain(AdminRequest::Agreement(AgreementRequest::CommandStatus { ticket: of }))
                }),
                "GET, POST",
            )
        }
        "/fleet/order" => (Ok(Called::Order), "GET, POST"),
        "/fleet/stage" => (Ok(Called::Stage), "POST"),
        "/config/apply" if method == "GET" => {
            let bad =
                |e: query::BadQuery| configuration::refused(&AdminError::BadCall { reason: e.to_string() });
            let id = query::request_id(query).map_err(bad);
            let call =
                |id| Called::Plain(AdminRequest::Configuration(ConfigurationAdminRequest::RequestStatus(id)));
            (id.map(call), "GET, POST")
        }
        "/config/apply" => (Ok(Called::ConfigurationApply), "GET, POST"),
        "/config/status" => {
            (plain(AdminRequest::Configuration(ConfigurationAdminRequest::Status)), "GET, HEAD")
        }
        "/fleet/found" => (agreed(AgreementRequest::FoundGroup), "POST"),
        "/fleet/leave" => (agreed(AgreementRequest::Leave), "POST"),
        "/fleet/stay" => (agreed(AgreementRequest::Stay), "POST"),
        "/fleet/wanted" => {
            let name = value(query, "name").map(String::from);
            (
                name.ok_or_else(|| bad("name=n3")).map(|of| {
                    Called::Plain(AdminRequest::Agreement(AgreementRequest::TargetVersion { server: of }))
                }),
                "GET, HEAD",
            )
        }
        _ => {
            let known = "/healthcheck, /stats, /fleet, /healthcheck/fail or /healthcheck/ok";
            return Err(Response::text(404, format!("expected {known}, got {path}\n")));
        }
    };
    if allow.split(", ").any(|allowed| allowed == method) {
        called
    } else {
        let mut response = Response::text(405, format!("expected {allow} for {path}, got {method}\n"));
        response.allow = Some(allow);
        Err(response)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status(bytes: &[u8]) -> u16 {
        match head(bytes) {
            Ok(Some(Head { call: Ok(_), .. })) => 200,
            Ok(Some(Head { call: Err(response), .. })) | Err(response) => response.status,
            Ok(None) => 0,
        }
    }

    /// Guards each call's path and method, and the answers of what is none.
    #[test]
    fn requests_name_calls_or_say_what_is_wrong() {
        let whole =
            head(b"POST /healthcheck/fail HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok").unwrap();
        let whole = whole.unwrap();
        assert_eq!((whole.call, whole.body, whole.len), (Ok(Called::Plain(AdminRequest::StartDrain)), 2, 63));
        let call = |bytes: &[u8]| head(bytes).unwrap().unwrap().call;
        assert_eq!(call(b"GET /stats?x=1 HTTP/1.1\r\n\r\n"), Ok(Called::Plain(AdminRequest::Stats)));
        let became = Called::Plain(AdminRequest::Agreement(AgreementRequest::CommandStatus { ticket: 7 }));
        assert_eq!(call(b"GET /fleet/order?ticket=7 HTTP/1.1\r\n\r\n"), Ok(became));
        assert_eq!(call(b"POST /fleet/order HTTP/1.1\r\n\r\n"), Ok(Called::Order));
        assert_eq!(status(b"GET /fleet/order?ticket=x HTTP/1.1\r\n\r\n"), 400);
        assert_eq!(status(b"GET /fleet/found HTTP/1.1\r\n\r\n"), 405);
        assert_eq!(status(b"GET /healthcheck HTTP/1.0\r\n\r\n"), 200);
        assert_eq!(status(b"GET /healthcheck HTTP/1.1\r\nHost: a\r\n"), 0, "not whole yet");
        assert_eq!(status(b"GET /nothing HTTP/1.1\r\n\r\n"), 404);
        assert_eq!(status(b"GET /healthcheck/fail HTTP/1.1\r\n\r\n"), 405);
        assert_eq!(status(b"DELETE /stats HTTP/1.1\r\n\r\n"), 405);
        assert_eq!(status(b"\x00\x01 garbage\r\n\r\n"), 400);
        assert_eq!(status(b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: x\r\n\r\n"), 400);
        assert_eq!(status(b"POST /healthcheck/ok HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
        assert_eq!(status(b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"), 413);
        let long = [b"GET /stats HTTP/1.1\r\nX: ".as_slice(), &[b'a'; HEAD_MOST]].concat();
        assert_eq!(status(&long), 400);
    }

    /// Guards the wire: a status line, a length that is the body's, and the end of the connection announced.
    #[test]
    fn a_response_is_whole_and_closes() {
        let mut response = Response::text(405, "no\n");
        response.allow = Some("POST");
        let text = String::from_utf8(response.bytes(false)).unwrap();
        assert!(text.starts_with("HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\n"), "{text}");
        assert!(text.contains("Content-Length: 3\r\n") && text.contains("Connection: close\r\n"), "{text}");
        assert!(text.ends_with("\r\n\r\nno\n"), "{text}");
        assert!(String::from_utf8(response.bytes(true)).unwrap().ends_with("\r\n\r\n"));
    }
}
