use super::*;

/// Guards the wire format: the status line, the length of the body, and the announced close of the connection.
#[test]
fn response_has_status_length_and_close() {
    let mut response = Response::text(405, "no\n");
    response.allow = Some("POST");
    let text = String::from_utf8(response.bytes(false)).unwrap();
    assert!(text.starts_with("HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\n"), "{text}");
    assert!(text.contains("Content-Length: 3\r\n") && text.contains("Connection: close\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\nno\n"), "{text}");
    assert!(String::from_utf8(response.bytes(true)).unwrap().ends_with("\r\n\r\n"));
}
