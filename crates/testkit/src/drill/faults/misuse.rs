//! Clients that misbehave, each in one way. What they are owed all the same is written down like that of the others.

use super::client::{Came, Connection, PATIENCE, Prepared, Special, Target};
use super::plan::{BadFrame, ClientFault, LARGEST_BODY, LARGEST_FRAME};
use super::random::Random;
use super::settings::{FEW_SOCKETS, READ};
use super::traffic::health;
use crate::thrift;
use rustix::net::{AddressFamily, SendFlags, SocketType, connect, send, socket, sockopt};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Between bytes that come one at a time.
const BETWEEN_BYTES: Duration = Duration::from_micros(200);
/// Between two halves of a write: so long that the first is mostly read before the second comes.
const BETWEEN_HALVES: Duration = Duration::from_millis(2);
/// The system keeps so little for a client that reads nothing.
const RECEIVE_BUFFER: usize = 4 * 1024;
/// How long idle connections stay after the descriptors are full.
const IDLE_FOR: Duration = Duration::from_millis(300);

/// Plays a client's fault against a server.
pub fn play(fault: ClientFault, target: &Target, random: &mut Random) {
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

/// The connection ends with a reset.
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
        let prepared = connection.prepare(random, &Special { body: Some(60), ..Special::default() });
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
            // What is whole before the end of the client's half is owed its answer.
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
        let prepared = connection.prepare(random, &Special { body: Some(80), ..Special::default() });
        for byte in &prepared.frame {
            if connection.write(std::slice::from_ref(byte)).is_err() {
                break;
            }
            thread::sleep(BETWEEN_BYTES);
        }
        connection.written(std::slice::from_ref(&prepared));
        if connection.wait_for_answers() != Came::Message || connection.draining {
            return;
        }
    }
    connection.finish();
}

fn prepare_all(
    connection: &mut Connection,
    random: &mut Random,
    count: usize,
    special: &Special,
) -> Vec<Prepared> {
    (0..count).map(|_| connection.prepare(random, special)).collect()
}

fn one_segment(target: &Target, random: &mut Random, count: usize) {
    let Some(mut connection) = target.connect() else { return };
    let all = prepare_all(&mut connection, random, count, &Special::default());
    if connection.send(&all).is_ok() {
        connection.wait_for_answers();
    }
    connection.finish();
}

fn split_requests(target: &Target, random: &mut Random, count: usize) {
    for _ in 0..count {
        let Some(mut connection) = target.connect() else { return };
        let special = Special { body: Some(random.count(0..=90)), ..Special::default() };
        let all = prepare_all(&mut connection, random, 2, &special);
        let bytes: Vec<u8> = all.iter().flat_map(|prepared| prepared.frame.clone()).collect();
        let (first, second) = bytes.split_at(random.count(1..=bytes.len() - 1));
        let sent = connection.write(first);
        thread::sleep(BETWEEN_HALVES);
        if sent.and_then(|()| connection.write(second)).is_ok() {
            connection.written(&all);
            connection.wait_for_answers();
        }
        connection.finish();
    }
}

/// A connection for which the system keeps little of what is not read.
fn narrow(target: &Target) -> Option<Connection> {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).ok()?;
    sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER).ok()?;
    let connected = Instant::now();
    connect(&socket, &target.address).ok()?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true).ok()?;
    Some(Connection::new(stream, target.clone(), connected))
}

fn stop_reading(target: &Target, random: &mut Random, count: usize) {
    let Some(mut connection) = narrow(target) else { return };
    let all =
        prepare_all(&mut connection, random, count, &Special { class: Some(READ), ..Special::default() });
    if connection.send(&all).is_err() {
        return;
    }
    // Until the processor has made all the results, or some did not run: the answers are on their way by then.
    let until = Instant::now() + super::settings::BUDGET;
    let made = |target: &Target| {
        let entries = target.record.entries();
        let rids = all.iter().map(|prepared| entries.requests[prepared.place].rid.clone());
        rids.filter(|rid| entries.made.iter().any(|made| made.rid == *rid)).count()
    };
    while made(target) < count && Instant::now() < until && !target.is_leaving() {
        thread::sleep(BETWEEN_HALVES);
    }
    connection.wait_for_answers();
    connection.finish();
}

fn bad_frame(target: &Target, random: &mut Random, kind: BadFrame) {
    let Some(mut connection) = target.connect() else { return };
    let prepared = connection.prepare(random, &Special::default());
    let bad: Vec<u8> = match kind {
        BadFrame::Empty => vec![0; 4],
        BadFrame::TooLarge => {
            let mut frame = ((LARGEST_FRAME + 1) as u32).to_be_bytes().to_vec();
            frame.resize(4 + LARGEST_FRAME + 1, 7);
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
    let special =
        Special { body: Some(LARGEST_BODY), padding: Some(0), class: Some(READ), ..Special::default() };
    let probe = connection.prepare(random, &special);
    connection.not_owed(std::slice::from_ref(&probe));
    let padding = Some(LARGEST_FRAME + 4 - probe.frame.len());
    let prepared = connection.prepare(random, &Special { padding, ..special });
    assert_eq!(prepared.frame.len(), LARGEST_FRAME + 4, "a frame of the largest size");
    if connection.send(std::slice::from_ref(&prepared)).is_ok() {
        connection.wait_for_answers();
    }
    connection.finish();
}

/// Urgent data is no part of the stream, but a read stops short of it.
fn urgent(target: &Target, random: &mut Random, count: usize) {
    for _ in 0..count {
        let Some(mut connection) = target.connect() else { return };
        let all = prepare_all(&mut connection, random, 2, &Special { body: Some(60), ..Special::default() });
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
    for _ in 0..FEW_SOCKETS {
        // Those that find no place wait to be accepted.
        match TcpStream::connect_timeout(&target.address, PATIENCE) {
            Ok(stream) => idle.push(stream),
            Err(_) => break,
        }
    }
    health(target);
    let Some(mut connection) = target.connect() else { return };
    let prepared = connection.prepare(random, &Special::default());
    if connection.send(std::slice::from_ref(&prepared)).is_ok() {
        connection.wait_for_answers();
    }
    thread::sleep(IDLE_FOR);
    drop(idle);
}

fn cancels(target: &Target, random: &mut Random, count: usize) {
    let Some(mut connection) = target.connect() else { return };
    for n in 0..count {
        let prepared = connection.prepare(random, &Special { class: Some(READ), ..Special::default() });
        // The numbers of requests and of these messages count together.
        let of = n as i32 + 1;
        let cancel = thrift::cancel(10_000 + of, of);
        let (together, bytes) = (random.once_in(2), [&prepared.frame[..], &cancel].concat());
        connection.not_owed(std::slice::from_ref(&prepared));
        let sent = if together {
            connection.write(&bytes)
        } else {
            connection.write(&prepared.frame).and_then(|()| {
                thread::sleep(BETWEEN_HALVES);
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

/// Each is a whole message, so each is owed an answer that says no.
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
        let special = Special { class: Some(READ), fields: vec![field], ..Special::default() };
        let prepared = connection.prepare(random, &special);
        if connection.send(std::slice::from_ref(&prepared)).is_err()
            || connection.wait_for_answers() != Came::Message
        {
            return;
        }
    }
    connection.finish();
}

fn half_close(target: &Target, random: &mut Random, count: usize) {
    for _ in 0..count {
        let Some(mut connection) = target.connect() else { return };
        let all = prepare_all(&mut connection, random, count, &Special::default());
        if connection.send(&all).is_err() {
            return;
        }
        let _ = connection.stream.shutdown(Shutdown::Write);
        connection.wait_for_answers();
    }
}

/// Half a request now; what is left of it comes with [`HalfSent::rest`].
pub struct HalfSent {
    connection: Connection,
    prepared: Prepared,
    at: usize,
}

impl HalfSent {
    /// Sends the first bytes of a request.
    pub fn begin(target: &Target, random: &mut Random) -> Option<Self> {
        let mut connection = target.connect()?;
        let prepared = connection.prepare(random, &Special::default());
        let at = random.count(1..=prepared.frame.len() - 1);
        connection.write(&prepared.frame[..at]).ok()?;
        Some(Self { connection, prepared, at })
    }

    /// Sends the rest, and waits for the answer.
    pub fn rest(mut self) {
        if self.connection.write(&self.prepared.frame[self.at..]).is_ok() {
            self.connection.written(std::slice::from_ref(&self.prepared));
            self.connection.wait_for_answers();
            self.connection.finish();
        }
    }
}
