//! A client of the operators' door of a running server: HTTP/1.1, one call a connection.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer is owed within a second.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long an order may be under way, and how often is asked.
const ORDER_PATIENCE: Duration = Duration::from_secs(10);
const ASK: Duration = Duration::from_millis(100);

/// A response: status and body.
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    /// The body where the call was taken; else it is the error.
    pub fn taken(self) -> Result<String, Box<dyn Error>> {
        let text = self.body.trim().to_string();
        if (200..300).contains(&self.status) { Ok(text) } else { Err(text.into()) }
    }
}

/// Calls a door.
pub fn call(door: SocketAddr, method: &str, path: &str, body: &str) -> Result<Response, Box<dyn Error>> {
    let tell = |e: std::io::Error| format!("the door at {door}: {e}");
    let mut stream = TcpStream::connect_timeout(&door, PATIENCE).map_err(tell)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(tell)?;
    let length = body.len();
    let request =
        format!("{method} {path} HTTP/1.1\r\nHost: {door}\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).map_err(tell)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(tell)?;
    let bad = || format!("the door at {door}: expected an HTTP response");
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(bad)?;
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).ok_or_else(bad)?;
    Ok(Response { status, body: body.to_string() })
}

/// Gives an order and waits for what becomes of it.
pub fn order(door: SocketAddr, order: &impl serde::Serialize) -> Result<String, Box<dyn Error>> {
    let ticket = call(door, "POST", "/fleet/order", &serde_json::to_string(order)?)?.taken()?;
    let begin = Instant::now();
    loop {
        let answer = call(door, "GET", &format!("/fleet/order?ticket={ticket}"), "")?;
        if answer.status != 202 {
            return answer.taken();
        }
        if begin.elapsed() > ORDER_PATIENCE {
            return Err("it is still under way; the status shows what became of it".into());
        }
        std::thread::sleep(ASK);
    }
}
