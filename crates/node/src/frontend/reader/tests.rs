use super::*;
use crate::frontend::thrift::Thrift;
use crate::settings::ActiveSettings;
use crossbeam_channel::{Receiver, unbounded};
use gradepin_core::buffer_pool::BufferPool;
use rustix::net::{SendFlags, send};
use slog::Logger;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;

/// A reader that has not run, with so many places, and what it tells.
fn reader(most: usize, shared: bool) -> (Reader, SocketAddr, Receiver<Input>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener = if shared { Listener::Shared(listener) } else { Listener::Tcp(listener) };
    let (inputs, came) = unbounded();
    let front: Arc<dyn Protocol> = Arc::new(Thrift::new(ActiveSettings::new(&Default::default())));
    let log = Logger::root(slog::Discard, slog::o!());
    let shared = Shared {
        handles: Arc::default(),
        accepting: Arc::new(AtomicBool::new(true)),
        inputs,
        pool: BufferPool::new(4),
        log,
    };
    (Reader::new(vec![(front, listener)], most, shared).unwrap(), address, came)
}

/// Guards against connections that the system took for this process, and that are reset by its end: they are accepted
/// first, and only then is the listener closed. One that another process has too stays open, with what waits on it.
#[test]
fn what_waits_to_be_accepted_is_accepted_before_a_listener_of_our_own_is_closed() {
    for shared in [false, true] {
        let (mut reader, address, came) = reader(100, shared);
        let _peers: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(address).unwrap()).collect();
        reader.shared.accepting.store(false, Ordering::SeqCst);
        reader.accept();
        let inputs: Vec<Input> = came.try_iter().collect();
        let opened = inputs.iter().filter(|input| matches!(input, Input::ConnectionOpened(_))).count();
        assert_eq!(opened, if shared { 0 } else { 40 });
        assert!(matches!(inputs.last(), Some(Input::StoppedAccepting)), "{inputs:?}");
        assert!(TcpStream::connect(address).is_err(), "nobody listens any more");
        reader.accept();
        assert!(came.is_empty(), "it is told once");
    }
}

/// Guards against places that are gone for good, and against lingering peers that keep newcomers out.
#[test]
fn past_its_places_it_accepts_the_spare_ones_and_a_lingering_peer_gives_way() {
    let (mut reader, address, came) = reader(4, false);
    let _peers: Vec<TcpStream> =
        (0..4 + RESERVED_CONNECTIONS + 3).map(|_| TcpStream::connect(address).unwrap()).collect();
    reader.accept();
    assert_eq!(came.try_iter().count(), 4 + RESERVED_CONNECTIONS);
    let conn = |n: ConnectionId| Arc::clone(&reader.readings[&n].socket);
    conn(2).close();
    let lingering = conn(2);
    assert!(lingering.lingers_since().is_some());
    drop(lingering);
    reader.accept();
    let inputs: Vec<Input> = came.try_iter().collect();
    assert!(matches!(inputs[..], [Input::ConnectionClosed(2), Input::ConnectionOpened(_)]), "{inputs:?}");
}

/// A health check as a client proxy frames it.
fn health(seq: i32) -> Vec<u8> {
    let head = [&[0x80, 1, 0, 1][..], &6_u32.to_be_bytes(), b"health", &seq.to_be_bytes()].concat();
    let message = [&head[..], &[2, 0, 1, 0, 0]].concat();
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// Bytes that the system has for the server's end of a connection and that were not read, as /proc/net/tcp tells.
fn unread(peer: &TcpStream) -> usize {
    let word = |address: SocketAddr| format!(":{:04X}", address.port());
    let (server, client) = (word(peer.peer_addr().unwrap()), word(peer.local_addr().unwrap()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let line = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut line = line.filter(|words| words[1].ends_with(&server) && words[2].ends_with(&client));
    let words = line.next().expect("the connection stands");
    usize::from_str_radix(words[4].split_once(':').unwrap().1, 16).unwrap()
}

/// Waits until so many bytes of a peer are there to be read.
fn arrived(peer: &TcpStream, bytes: usize) {
    let start = Instant::now();
    while unread(peer) < bytes {
        assert!(start.elapsed() < Duration::from_secs(20), "{} of {bytes} bytes came", unread(peer));
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Has all turns that are to come now, as the reader's loop has them, until none is left.
fn all_turns(reader: &mut Reader) {
    reader.accept();
    loop {
        let mut events = Vec::with_capacity(EVENTS);
        let none = Timespec { tv_sec: 0, tv_nsec: 0 };
        epoll::wait(&reader.epoll, rustix::buffer::spare_capacity(&mut events), Some(&none)).unwrap();
        for event in &events {
            reader.wake(event.data.u64(), event.flags);
        }
        if reader.turns.is_empty() {
            return;
        }
        while let Some(conn) = reader.turns.pop_front() {
            assert!(reader.turn(conn));
        }
    }
}

fn health_checks(came: &Receiver<Input>) -> Vec<i32> {
    came.try_iter()
        .filter_map(
            |input| if let Input::HealthCheck { sequence: seq, .. } = input { Some(seq) } else { None },
        )
        .collect()
}

/// Guards against a connection that hangs with requests unread: a read may be cut short though more is there, as it is
/// before an urgent mark, and of what is there already nothing is told anew.
#[test]
fn a_read_that_is_cut_short_leaves_nothing_behind() {
    let (mut reader, address, came) = reader(4, false);
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(&health(1)).unwrap();
    send(&peer, b"!", SendFlags::OOB).unwrap();
    peer.write_all(&health(2)).unwrap();
    arrived(&peer, 2 * health(1).len() + 1);
    all_turns(&mut reader);
    assert_eq!(health_checks(&came), [1, 2]);
}

/// Guards against a request that is read, thrown away and closed with no answer, since it came in the instant in which
/// its connection was found late: after the last look at the sockets, and before the close.
#[test]
fn a_request_that_comes_in_the_instant_of_lateness_is_passed_on() {
    for before_the_look in [true, false] {
        let (mut reader, address, came) = reader(4, false);
        let mut peer = TcpStream::connect(address).unwrap();
        all_turns(&mut reader);
        let late = Instant::now() + Duration::from_secs(3);
        if before_the_look {
            peer.write_all(&health(1)).unwrap();
            arrived(&peer, health(1).len());
        }
        reader.tick(late);
        if !before_the_look {
            // The main thread has not closed it yet.
            peer.write_all(&health(1)).unwrap();
            arrived(&peer, health(1).len());
        }
        all_turns(&mut reader);
        assert_eq!(health_checks(&came), [1], "{before_the_look}");
    }
}

/// Guards against answers that wait for room that nobody tells of: a write that was denied for want of memory, and not of
/// room, is followed by no event, and its peer was ended 5 s later.
#[test]
fn a_write_that_was_denied_is_tried_again() {
    let (mut reader, address, _came) = reader(4, false);
    let mut peer = TcpStream::connect(address).unwrap();
    all_turns(&mut reader);
    let socket = Arc::clone(&reader.readings[&1].socket);
    socket.deny(reader.shared.pool.copy(b"answer").unwrap());
    all_turns(&mut reader);
    reader.tick(Instant::now());
    assert!(!socket.is_stalled() && socket.unread() == 0, "it waits yet");
    peer.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut answer = [0; 6];
    peer.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"answer");
}

/// Guards against newcomers who wait until another one comes: where accepting was broken off though somebody waits, no
/// event tells of those again.
#[test]
fn who_waits_to_be_accepted_is_found_without_an_event() {
    let (mut reader, address, came) = reader(4, false);
    let _peer = TcpStream::connect(address).unwrap();
    reader.doors[0].accepts = false;
    reader.tick(Instant::now());
    reader.accept();
    assert!(matches!(came.try_recv(), Ok(Input::ConnectionOpened(_))));
}
