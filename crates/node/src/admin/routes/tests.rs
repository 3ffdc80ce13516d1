use super::*;
use crate::admin::http::{MAX_HEAD_BYTES, RequestHead, parse_head};

fn endpoint(head: &RequestHead) -> Result<Endpoint, Response> {
    route(&head.method, &head.path, &head.query)
}

/// Status of the error response to these bytes; 200 for a valid request, 0 for an incomplete one.
fn status(bytes: &[u8]) -> u16 {
    match parse_head(bytes) {
        Ok(Some(head)) => endpoint(&head).map_or_else(|response| response.status, |_| 200),
        Err(response) => response.status,
        Ok(None) => 0,
    }
}

/// Guards the path and method of each request, and the responses to invalid ones.
#[test]
fn routes_requests_and_rejects_invalid_ones() {
    let complete =
        parse_head(b"POST /healthcheck/fail HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok").unwrap();
    let complete = complete.unwrap();
    assert_eq!(
        (endpoint(&complete), complete.body_bytes, complete.head_bytes),
        (Ok(Endpoint::Request(AdminRequest::StartDrain)), 2, 63)
    );
    let routed = |bytes: &[u8]| endpoint(&parse_head(bytes).unwrap().unwrap());
    assert_eq!(routed(b"GET /stats?x=1 HTTP/1.1\r\n\r\n"), Ok(Endpoint::Request(AdminRequest::Stats)));
    let command_status =
        Endpoint::Request(AdminRequest::Agreement(AgreementRequest::CommandStatus { ticket: 7 }));
    assert_eq!(routed(b"GET /fleet/order?ticket=7 HTTP/1.1\r\n\r\n"), Ok(command_status));
    assert_eq!(routed(b"POST /fleet/order HTTP/1.1\r\n\r\n"), Ok(Endpoint::SubmitCommand));
    assert_eq!(status(b"GET /fleet/order?ticket=x HTTP/1.1\r\n\r\n"), 400);
    assert_eq!(status(b"GET /fleet/found HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(status(b"GET /healthcheck HTTP/1.0\r\n\r\n"), 200);
    assert_eq!(status(b"GET /healthcheck HTTP/1.1\r\nHost: a\r\n"), 0, "incomplete");
    assert_eq!(status(b"GET /nothing HTTP/1.1\r\n\r\n"), 404);
    assert_eq!(status(b"GET /healthcheck/fail HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(status(b"DELETE /stats HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(status(b"\x00\x01 garbage\r\n\r\n"), 400);
    assert_eq!(status(b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: x\r\n\r\n"), 400);
    assert_eq!(status(b"POST /healthcheck/ok HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
    assert_eq!(status(b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"), 413);
    let long = [b"GET /stats HTTP/1.1\r\nX: ".as_slice(), &[b'a'; MAX_HEAD_BYTES]].concat();
    assert_eq!(status(&long), 400);
}
