//! Client of a server's admin endpoint: HTTP/1.1, one request per connection. Used by `gradepin fleet`, `release` and
//! `config`.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Timeout for connecting, sending and receiving; servers respond within one second.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Size limit of a response; a full page of entries is well below it.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// How long to wait for the outcome of a pending order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between polls for the outcome of a pending order.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An HTTP response.
#[derive(Debug)]
pub(crate) struct Response {
    pub status: u16,
    pub body: String,
}

/// Reasons why a request got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ClientError {
    /// The connection failed: the server has not seen the request.
    #[error("the admin endpoint at {address}: {cause}")]
    Connect { address: SocketAddr, cause: std::io::Error },
    /// The connection broke: the server may have received the request.
    #[error("the admin endpoint at {address}: no answer: {cause}")]
    Lost { address: SocketAddr, cause: std::io::Error },
    /// The response is not HTTP.
    #[error("the admin endpoint at {address}: expected an HTTP response")]
    NotHttp { address: SocketAddr },
}

impl Response {
    /// Returns the body of a successful response, or the body as an error.
    pub(crate) fn into_success(self) -> Result<String, Box<dyn Error>> {
        let text = self.body.trim().to_string();
        if (200..300).contains(&self.status) { Ok(text) } else { Err(text.into()) }
    }
}

/// Sends a request to an admin endpoint.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Response, ClientError> {
    let stream = TcpStream::connect_timeout(&address, TIMEOUT);
    let stream = stream.map_err(|cause| ClientError::Connect { address, cause })?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n");
    let text = exchange(stream, &(head + body)).map_err(|cause| ClientError::Lost { address, cause })?;
    parse(&text).ok_or(ClientError::NotHttp { address })
}

fn exchange(mut stream: TcpStream, request: &str) -> std::io::Result<String> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut text)?;
    if text.is_empty() {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text)
}

fn parse(text: &str) -> Option<Response> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, body: body.to_string() })
}

/// Sends an order to the consensus group and polls until it has completed.
pub(crate) fn order(address: SocketAddr, order: &impl serde::Serialize) -> Result<String, Box<dyn Error>> {
    let ticket = call(address, "POST", "/fleet/order", &serde_json::to_string(order)?)?.into_success()?;
    let started = Instant::now();
    loop {
        let answer = call(address, "GET", &format!("/fleet/order?ticket={ticket}"), "")?;
        if answer.status != 202 {
            return answer.into_success();
        }
        if started.elapsed() > ORDER_TIMEOUT {
            return Err("the order is still pending; `gradepin fleet status` shows its outcome".into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
