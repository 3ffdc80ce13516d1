//! Guards against a registry that blocks a server: whether its responses are truncated, endless, of the wrong length or
//! garbage, each request gets a reply within its timeout, and its thread survives.

use gradepin_node::registry::Client;
use gradepin_node::settings::ServiceUrl;
use gradepin_registry::instance::InstanceStatus;
use gradepin_registry::membership::{RegistryOperation, RegistryReply};
use gradepin_registry::wire::Format;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound of a wait for a reply. It only ends a test that hangs; replies may be slow.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// How the stand-in registry responds on a connection.
#[derive(Clone)]
enum Answer {
    /// Sends these bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Sends these bytes, then keeps the connection open without sending more.
    SendAndHold(Vec<u8>),
    /// Sends the first bytes once, then repeats the others slowly and endlessly.
    Drip(Vec<u8>, &'static [u8]),
}

/// Starts a stand-in registry that responds the same way on every connection, and returns its URL.
fn registry(answer: Answer) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut open_sockets = Vec::new();
        for mut socket in listener.incoming().flatten() {
            let _ = socket.read(&mut [0; 4_096]);
            match answer.clone() {
                Answer::SendAndClose(bytes) => drop(socket.write_all(&bytes)),
                Answer::SendAndHold(bytes) => {
                    let _ = socket.write_all(&bytes);
                    open_sockets.push(socket);
                }
                Answer::Drip(bytes, more) => drop(thread::spawn(move || {
                    let _ = socket.write_all(&bytes);
                    while socket.write_all(more).is_ok() {
                        thread::sleep(Duration::from_millis(5));
                    }
                })),
            }
        }
    });
    format!("http://{address}/eureka")
}

/// Makes a request on a thread with the stack size of the server's registry threads.
fn ask(url: String, format: Format, op: RegistryOperation) -> Receiver<RegistryReply> {
    let (replies, replied) = channel();
    let run = move || {
        let client = Client::new(&ServiceUrl { url, login: None }, format);
        let _ = replies.send(client.ask("TILES", "n1", &op, TIMEOUT));
    };
    thread::Builder::new().stack_size(1024 * 1024).spawn(run).expect("a thread");
    replied
}

fn head(lines: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n").into_bytes()
}

#[test]
fn replies_to_each_request_whatever_the_registry_responds() {
    let deep_json = "{\"instance\":".repeat(9_000);
    let deep_xml = "<a>".repeat(20_000);
    let wide_xml = format!("<instance {}/>", (0..5_000).map(|n| format!("a{n}='' ")).collect::<String>());
    let with_body = |lines: &str, body: &str| [head(lines), body.as_bytes().to_vec()].concat();
    let responses = [
        Vec::new(),
        b"\r\n".to_vec(),
        b"HTTP/1.1".to_vec(),
        b"HTTP/1.1 200".to_vec(),
        b"HTTP/9.9 200 OK\r\n\r\n".to_vec(),
        b"HTTP/1.1 99999 OK\r\n\r\n".to_vec(),
        b"HTTP/1.1 301 Moved\r\nLocation: http://127.0.0.1:1/\r\n\r\n".to_vec(),
        b"HTTP/1.1 302 Found\r\n\r\n".to_vec(),
        b"HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000),
        b"HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nno".to_vec(),
        [0xff_u8; 5_000].to_vec(),
        [0_u8; 100].to_vec(),
        head("Content-Length: 18446744073709551616\r\n"),
        head("Content-Length: 18446744073709551615\r\n"),
        head("Content-Length: -1\r\n"),
        head("Content-Length: 10\r\nContent-Length: 20\r\n"),
        head(&format!("X: {}\r\n", "x".repeat(200_000))),
        head(&"X: y\r\n".repeat(10_000)),
        with_body("Content-Length: 1000\r\n", "{}"),
        with_body("Content-Length: 2\r\n", "{}{}{}"),
        with_body("Transfer-Encoding: chunked\r\n", "zz\r\n{}\r\n"),
        with_body("Transfer-Encoding: chunked\r\n", "ffffffffffffffff\r\n{}"),
        with_body("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\n{}"),
        with_body("Transfer-Encoding: chunked\r\n", "2\r\n{}garbage"),
        with_body("Transfer-Encoding: gzip\r\n", "{}"),
        with_body("Content-Encoding: gzip\r\n", "{}"),
        with_body(&format!("Content-Length: {}\r\n", deep_json.len()), &deep_json),
        with_body(&format!("Content-Length: {}\r\n", deep_xml.len()), &deep_xml),
        with_body(&format!("Content-Length: {}\r\n", wide_xml.len()), &wide_xml),
        with_body("", &"x".repeat(1 << 20)),
    ];
    let mut answers: Vec<Answer> = responses.iter().cloned().map(Answer::SendAndClose).collect();
    answers.extend(responses.into_iter().map(Answer::SendAndHold));
    answers.push(Answer::Drip(Vec::new(), b"H"));
    answers.push(Answer::Drip(b"HTTP/1.1 200 OK\r\n".to_vec(), b"X: y\r\n"));
    answers.push(Answer::Drip(b"".to_vec(), b"HTTP/1.1 100 Continue\r\n\r\n"));
    answers.push(Answer::Drip(head("Content-Length: 60000\r\n"), b"{"));
    answers.push(Answer::Drip(head("Transfer-Encoding: chunked\r\n"), b"1\r\n{\r\n"));
    answers.push(Answer::Drip(head("Transfer-Encoding: chunked\r\n"), b"1;x"));
    answers.push(Answer::Drip(head(""), b" "));
    for (batch, answers) in answers.chunks(8).enumerate() {
        let mut waiting = Vec::new();
        for (n, answer) in answers.iter().enumerate() {
            for format in [Format::Json, Format::Xml] {
                let url = registry(answer.clone());
                for op in [
                    RegistryOperation::FetchOwnRecord,
                    RegistryOperation::Heartbeat { status: InstanceStatus::Up, dirty_ms: 1 },
                    RegistryOperation::Cancel,
                ] {
                    let label = format!("answer {} to {op:?}, {format:?}", 8 * batch + n);
                    waiting.push((label, ask(url.clone(), format, op)));
                }
            }
        }
        for (label, replied) in waiting {
            let reply = replied.recv_timeout(MAX_WAIT).unwrap_or_else(|error| panic!("{label}: {error}"));
            assert!(!matches!(reply, RegistryReply::Record(_)), "{label}: {reply:?}");
        }
    }
}
