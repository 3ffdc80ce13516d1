//! Clients that misbehave, each in one way. Answers that they are still owed are recorded as for other clients.

use super::client::{Connection, HANG_TIMEOUT, Prepared, ReadOutcome, RequestOptions, Target};
use super::plan::{BadFrame, ClientFault, MAX_BODY_BYTES, MAX_FRAME_BYTES};
use super::random::Random;
use super::settings::{FEW_DESCRIPTORS, READ};
use super::traffic::health;
use crate::thrift;
use rustix::net::{AddressFamily, SendFlags, SocketType, connect, send, socket, sockopt};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between bytes that are sent one at a time.
const BYTE_INTERVAL: Duration = Duration::from_micros(200);
/// Delay between the two parts of a write; long enough that the server mostly reads the first part alone.
const HALF_WRITE_DELAY: Duration = Duration::from_millis(2);
/// Receive buffer in bytes of a client that doesn't read.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Time for which idle connections stay open once the descriptors are exhausted.
const IDLE_DURATION: Duration = Duration::from_millis(300);

/// Carries out a client's fault against a server.
pub fn misbehave(fault: ClientFault, target: &Target, random: &mut Random) {
    match fault {
        ClientFault::ConnectAndClose(count) => connect_and_end(target, count, false),
        ClientFault::ResetAfterAccept(count) => connect_and_end(target, count, true),
        ClientFault::ResetAtBytes(first, step) => cut_at_bytes(target, random, first, step, true),
        ClientFault::CloseAtBytes(first, step) => cut_at_bytes(target, random, first, step, false),
        ClientFault::ByteByByte(count) => byte_by_byte(target, random, count),
        ClientFault::OneSegment(count) => one_segment(target, random, count),
        ClientFault::SplitRequests(count) => split_requests(target, random, count),
        ClientFault::StopReading(count) => stop_reading(target, random, count),
        ClientFault::BadFrame(kind) => bad_frame(target, random, kind),
        ClientFault::LargestFrame => largest_frame(target, random),
        ClientFault::Urgent(count) => urgent(target, random, count),
        ClientFault::IdleToTheLimit => idle_to_the_limit(target, random),
        ClientFault::Cancels(count) => cancels(target, random, count),
        ClientFault::HealthChecks(count) => {
            for _ in 0..count {
                health(target);
            }
        }
        ClientFault::OddFields => odd_fields(target, random),
        ClientFault::HalfClose(count) => half_close(target, random, count),
    }
}

/// Makes the close of the connection a reset.
fn reset(connection: &Connection) {
    let _ = sockopt::set_socket_linger(&connection.stream, Some(Duration::ZERO));
}

fn connect_and_end(target: &Target, count: usize, resets: bool) {
    for _ in 0..count {
        let Some(connection) = target.connect() else { return };
        if resets {
            reset(&connection);
        }
    }
}

fn cut_at_bytes(target: &Target, random: &mut Random, first: usize, step: usize, resets: bool) {
    let mut at = first;
    loop {
        let Some(mut connection) = target.connect() else { return };
        let prepared =
            connection.prepare(random, &RequestOptions { body: Some(60), ..RequestOptions::default() });
        let length = prepared.frame.len();
        let at_most = at.min(length);
        let written = connection.write(&prepared.frame[..at_most]).is_ok();
        if at_most == length && written {
            connection.written(std::slice::from_ref(&prepared));
        }
        if resets {
            connection.not_owed(std::slice::from_ref(&prepared));
            reset(&connection);
        } else {
            // Requests that were complete before the client's half closed are owed an answer.
            let _ = connection.stream.shutdown(Shutdown::Write);
            if at_most == length {
                connection.wait_for_answers();
            }
        }
        if at >= length {
            return;
        }
        at += step;
    }
}

fn byte_by_byte(target: &Target, random: &mut Random, count: usize) {
    let Some(mut connection) = target.connect() else { return };
    for _ in 0..count {
        let prepared =
            connection.prepare(random, &RequestOptions { body: Some(80), ..RequestOptions::default() });
        for byte in &prepared.frame {
            if connection.write(std::slice::from_ref(byte)).is_err() {
                break;
            }
            thread::sleep(BYTE_INTERVAL);
        }
        connection.written(std::slice::from_ref(&prepared));
        if connection.wait_for_answers() != ReadOutcome::Message || connection.draining {
            return;
        }
    }
    connection.finish();
}

fn prepare_all(
    connection: &mut Connection,
    random: &mut Random,
    count: usize,
    options: &RequestOptions,
) -> Vec<Prepared> {
    (0..count).map(|_| connection.prepare(random, options)).collect()
}

fn one_segment(target: &Target, random: &mut Random, count: usize) {
    let Some(mut connection) = target.connect() else { return };
    let all = prepare_all(&mut connection, random, count, &RequestOptions::default());
    if connection.send(&all).is_ok() {
        connection.wait_for_answers();
    }
    connection.finish();
}

fn split_requests(target: &Target, random: &mut Random, count: usize) {
    for _ in 0..count {
        let Some(mut connection) = target.connect() else { return };
        let options = RequestOptions { body: Some(random.count(0..=90)), ..RequestOptions::default() };
        let all = prepare_all(&mut connection, random, 2, &options);
        let bytes: Vec<u8> = all.iter().flat_map(|prepared| prepared.frame.clone()).collect();
        let (first, second) = bytes.split_at(random.count(1..=bytes.len() - 1));
        let sent = connection.write(first);
        thread::sleep(HALF_WRITE_DELAY);
        if sent.and_then(|()| connection.write(second)).is_ok() {
            connection.written(&all);
            connection.wait_for_answers();
        }
        connection.finish();
    }
}

/// Opens a connection with a small receive buffer.
fn connect_with_small_buffer(target: &Target) -> Option<Connection> {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).ok()?;
    sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).ok()?;
    let connected = Instant::now();
    connect(&socket, &target.address).ok()?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true).ok()?;
    Some(Connection::new(stream, target.clone(), connected))
}

fn stop_reading(target: &Target, random: &mut Random, count: usize) {
    let Some(mut connection) = connect_with_small_buffer(target) else { return };
    let all = prepare_all(
        &mut connection,
        random,
        count,
        &RequestOptions { class: Some(READ), ..RequestOptions::default() },
    );
    if connection.send(&all).is_err() {
        return;
    }
    // Waits until the processor has produced all results, or the budget is over: by then the answers have been sent.
    let until = Instant::now() + super::settings::BUDGET;
    let results_of = |target: &Target| {
        let entries = target.record.entries();
        let rids = all.iter().map(|prepared| entries.requests[prepared.index].rid.clone());
        rids.filter(|rid| entries.results.iter().any(|result| result.rid == *rid)).count()
    };
    while results_of(target) < count && Instant::now() < until && !target.is_stopping() {
        thread::sleep(HALF_WRITE_DELAY);
    }
    connection.wait_for_answers();
    connection.finish();
}

fn bad_frame(target: &Target, random: &mut Random, kind: BadFrame) {
    let Some(mut connection) = target.connect() else { return };
    let prepared = connection.prepare(random, &RequestOptions::default());
    let bad: Vec<u8> = match kind {
        BadFrame::Empty => vec![0; 4],
        BadFrame::TooLarge => {
            let mut frame = ((MAX_FRAME_BYTES + 1) as u32).to_be_bytes().to_vec();
            frame.resize(4 + MAX_FRAME_BYTES + 1, 7);
            frame
        }
        BadFrame::Negative => (-5_i32).to_be_bytes().to_vec(),
        BadFrame::Huge => i32::MAX.to_be_bytes().to_vec(),
    };
    let bytes = [&prepared.frame[..], &bad].concat();
    if connection.write(&bytes).is_ok() {
        connection.written(std::slice::from_ref(&prepared));
    }
    connection.wait_for_answers();
    connection.finish();
}

fn largest_frame(target: &Target, random: &mut Random) {
    let Some(mut connection) = target.connect() else { return };
    let options = RequestOptions {
        body: Some(MAX_BODY_BYTES),
        padding: Some(0),
        class: Some(READ),
        ..RequestOptions::default()
    };
    let sample = connection.prepare(random, &options);
    connection.not_owed(std::slice::from_ref(&sample));
    let padding = Some(MAX_FRAME_BYTES + 4 - sample.frame.len());
    let prepared = connection.prepare(random, &RequestOptions { padding, ..options });
    assert_eq!(prepared.frame.len(), MAX_FRAME_BYTES + 4, "a frame of the largest size");
    if connection.send(std::slice::from_ref(&prepared)).is_ok() {
        connection.wait_for_answers();
    }
    connection.finish();
}

/// Urgent data is not part of the stream, but a read stops before it.
fn urgent(target: &Target, random: &mut Random, count: usize) {
    for _ in 0..count {
        let Some(mut connection) = target.connect() else { return };
        let all = prepare_all(
            &mut connection,
            random,
            2,
            &RequestOptions { body: Some(60), ..RequestOptions::default() },
        );
        let bytes: Vec<u8> = all.iter().flat_map(|prepared| prepared.frame.clone()).collect();
        let (first, second) = bytes.split_at(random.count(1..=bytes.len() - 1));
        let sent = connection.write(first);
        let _ = send(&connection.stream, b"!", SendFlags::OOB);
        if sent.and_then(|()| connection.write(second)).is_ok() {
            connection.written(&all);
            connection.wait_for_answers();
        }
        connection.finish();
    }
}

fn idle_to_the_limit(target: &Target, random: &mut Random) {
    let mut idle = Vec::new();
    for _ in 0..FEW_DESCRIPTORS {
        // Connections beyond the limit wait in the listener's queue.
        match TcpStream::connect_timeout(&target.address, HANG_TIMEOUT) {
            Ok(stream) => idle.push(stream),
            Err(_) => break,
        }
    }
    health(target);
    let Some(mut connection) = target.connect() else { return };
    let prepared = connection.prepare(random, &RequestOptions::default());
    if connection.send(std::slice::from_ref(&prepared)).is_ok() {
        connection.wait_for_answers();
    }
    thread::sleep(IDLE_DURATION);
    drop(idle);
}

fn cancels(target: &Target, random: &mut Random, count: usize) {
    let Some(mut connection) = target.connect() else { return };
    for n in 0..count {
        let prepared =
            connection.prepare(random, &RequestOptions { class: Some(READ), ..RequestOptions::default() });
        // Requests and cancellations share one sequence of numbers.
        let of = n as i32 + 1;
        let cancel = thrift::cancel(10_000 + of, of);
        let (together, bytes) = (random.once_in(2), [&prepared.frame[..], &cancel].concat());
        connection.not_owed(std::slice::from_ref(&prepared));
        let sent = if together {
            connection.write(&bytes)
        } else {
            connection.write(&prepared.frame).and_then(|()| {
                thread::sleep(HALF_WRITE_DELAY);
                connection.write(&cancel)
            })
        };
        if sent.is_err() {
            return;
        }
        connection.written(std::slice::from_ref(&prepared));
    }
    connection.finish();
}

/// Each request is a complete message, so each is owed an answer that rejects it.
fn odd_fields(target: &Target, random: &mut Random) {
    let odd: [(&'static str, String); 14] = [
        ("method", "nobody's".into()),
        ("method", "x\r\nusage forged".into()),
        ("acct", "stranger".into()),
        ("rid", "short".into()),
        ("rid", "0000000000000000\r\n".into()),
        ("t0", "-1".into()),
        ("t0", u64::MAX.to_string()),
        ("t0", "99999999999999999999999".into()),
        ("budget", "-5".into()),
        ("budget", u64::MAX.to_string()),
        ("budget", "0".into()),
        ("mem", "NaN".into()),
        ("mem", "1e300".into()),
        ("prio", "1.0".into()),
    ];
    let Some(mut connection) = target.connect() else { return };
    for field in odd {
        let options = RequestOptions { class: Some(READ), fields: vec![field], ..RequestOptions::default() };
        let prepared = connection.prepare(random, &options);
        if connection.send(std::slice::from_ref(&prepared)).is_err()
            || connection.wait_for_answers() != ReadOutcome::Message
        {
            return;
        }
    }
    connection.finish();
}

fn half_close(target: &Target, random: &mut Random, count: usize) {
    for _ in 0..count {
        let Some(mut connection) = target.connect() else { return };
        let all = prepare_all(&mut connection, random, count, &RequestOptions::default());
        if connection.send(&all).is_err() {
            return;
        }
        let _ = connection.stream.shutdown(Shutdown::Write);
        connection.wait_for_answers();
    }
}

/// A request of which only the first part was sent; [`HalfSent::rest`] sends the remainder.
pub struct HalfSent {
    connection: Connection,
    prepared: Prepared,
    at: usize,
}

impl HalfSent {
    /// Sends the first bytes of a request.
    pub fn begin(target: &Target, random: &mut Random) -> Option<Self> {
        let mut connection = target.connect()?;
        let prepared = connection.prepare(random, &RequestOptions::default());
        let at = random.count(1..=prepared.frame.len() - 1);
        connection.write(&prepared.frame[..at]).ok()?;
        Some(Self { connection, prepared, at })
    }

    /// Sends the remaining bytes and waits for the answer.
    pub fn rest(mut self) {
        if self.connection.write(&self.prepared.frame[self.at..]).is_ok() {
            self.connection.written(std::slice::from_ref(&self.prepared));
            self.connection.wait_for_answers();
            self.connection.finish();
        }
    }
}
