use super::*;
use crate::clock::Clock;
use crate::frontend::thrift::Thrift;
use crate::settings::ActiveSettings;
use crossbeam_channel::{Receiver, unbounded};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::RESERVED_CONNECTIONS;
use rustix::net::{SendFlags, send};
use slog::Logger;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Creates an event loop that is not running; returns it with the address of its listener and the queue of its inputs.
fn event_loop(max_connections: usize, shared: bool) -> (EventLoop, SocketAddr, Receiver<Input>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener = if shared { Listener::Shared(listener) } else { Listener::Tcp(listener) };
    let (inputs, received) = unbounded();
    let protocol: Arc<dyn Protocol> = Arc::new(Thrift::new(ActiveSettings::new(&Default::default())));
    let log = Logger::root(slog::Discard, slog::o!());
    let shared = Shared {
        connections: Arc::default(),
        stops: Arc::default(),
        inputs,
        pool: BufferPool::new(4),
        clock: Clock::start(),
        log,
    };
    (EventLoop::new(vec![(protocol, listener)], max_connections, shared).unwrap(), address, received)
}

/// Guards against resets of connections queued on an exclusive listener: they are accepted before it is closed. A
/// shared listener keeps its queue for the other process.
#[test]
fn accepts_queued_connections_before_closing_an_exclusive_listener() {
    for shared in [false, true] {
        let (mut event_loop, address, received) = event_loop(100, shared);
        let _peers: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(address).unwrap()).collect();
        event_loop.shared.stops.accepting.store(true, Ordering::SeqCst);
        event_loop.accept();
        let inputs: Vec<Input> = received.try_iter().collect();
        let opened = inputs.iter().filter(|input| matches!(input, Input::ConnectionOpened(_))).count();
        assert_eq!(opened, if shared { 0 } else { 40 });
        assert!(matches!(inputs.last(), Some(Input::StoppedAccepting)), "{inputs:?}");
        assert!(TcpStream::connect(address).is_err(), "the listener is closed");
        event_loop.accept();
        assert!(received.is_empty(), "StoppedAccepting is sent once");
    }
}

/// Guards against slots that are never freed, and against lingering connections that block new ones.
#[test]
fn accepts_into_reserved_slots_when_full_and_replaces_a_lingering_connection() {
    let (mut event_loop, address, received) = event_loop(4, false);
    let _peers: Vec<TcpStream> =
        (0..4 + RESERVED_CONNECTIONS + 3).map(|_| TcpStream::connect(address).unwrap()).collect();
    event_loop.accept();
    assert_eq!(received.try_iter().count(), 4 + RESERVED_CONNECTIONS);
    let connection = |n: ConnectionId| Arc::clone(&event_loop.readers[&n].connection);
    connection(2).close();
    let lingering = connection(2);
    assert!(lingering.lingering_since().is_some());
    drop(lingering);
    event_loop.accept();
    let inputs: Vec<Input> = received.try_iter().collect();
    assert!(matches!(inputs[..], [Input::ConnectionClosed(2), Input::ConnectionOpened(_)]), "{inputs:?}");
}

/// The Thrift frame of a health check.
fn health(seq: i32) -> Vec<u8> {
    let head = [&[0x80, 1, 0, 1][..], &6_u32.to_be_bytes(), b"health", &seq.to_be_bytes()].concat();
    let message = [&head[..], &[2, 0, 1, 0, 0]].concat();
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// Unread bytes at the server's end of a connection, from /proc/net/tcp.
fn unread(peer: &TcpStream) -> usize {
    let word = |address: SocketAddr| format!(":{:04X}", address.port());
    let (server, client) = (word(peer.peer_addr().unwrap()), word(peer.local_addr().unwrap()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let line = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut line = line.filter(|words| words[1].ends_with(&server) && words[2].ends_with(&client));
    let words = line.next().expect("an open connection");
    usize::from_str_radix(words[4].split_once(':').unwrap().1, 16).unwrap()
}

/// Waits until at least `bytes` bytes of a peer are unread.
fn wait_until_unread(peer: &TcpStream, bytes: usize) {
    let start = Instant::now();
    while unread(peer) < bytes {
        assert!(start.elapsed() < Duration::from_secs(20), "{} of {bytes} bytes arrived", unread(peer));
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Handles all pending events, as the running loop does, until no connection is scheduled.
fn run_all_events(event_loop: &mut EventLoop) {
    event_loop.accept();
    loop {
        let mut events = Vec::with_capacity(MAX_EVENTS);
        let none = Timespec { tv_sec: 0, tv_nsec: 0 };
        epoll::wait(&event_loop.epoll, rustix::buffer::spare_capacity(&mut events), Some(&none)).unwrap();
        for event in &events {
            event_loop.handle_connection_event(event.data.u64(), event.flags);
        }
        if event_loop.scheduled.is_empty() {
            return;
        }
        while let Some(id) = event_loop.scheduled.pop_front() {
            assert!(event_loop.read(id));
        }
    }
}

fn health_checks(received: &Receiver<Input>) -> Vec<i32> {
    received
        .try_iter()
        .filter_map(
            |input| if let Input::HealthCheck { sequence: seq, .. } = input { Some(seq) } else { None },
        )
        .collect()
}

/// Guards against a connection that hangs with unread requests: a read can be short although more bytes are available,
/// for example at an urgent mark, and no further event arrives for them.
#[test]
fn reads_everything_after_a_short_read() {
    let (mut event_loop, address, received) = event_loop(4, false);
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(&health(1)).unwrap();
    send(&peer, b"!", SendFlags::OOB).unwrap();
    peer.write_all(&health(2)).unwrap();
    wait_until_unread(&peer, 2 * health(1).len() + 1);
    run_all_events(&mut event_loop);
    assert_eq!(health_checks(&received), [1, 2]);
}

/// Guards against a request that is discarded without a response because it arrives at the moment of its timeout: after
/// the last wait for events and before the close.
#[test]
fn delivers_a_request_that_arrives_at_the_moment_of_its_timeout() {
    for before_tick in [true, false] {
        let (mut event_loop, address, received) = event_loop(4, false);
        let mut peer = TcpStream::connect(address).unwrap();
        run_all_events(&mut event_loop);
        let after_timeout = Instant::now() + Duration::from_secs(3);
        if before_tick {
            peer.write_all(&health(1)).unwrap();
            wait_until_unread(&peer, health(1).len());
        }
        event_loop.tick(after_timeout);
        if !before_tick {
            // The main thread has not closed the connection yet.
            peer.write_all(&health(1)).unwrap();
            wait_until_unread(&peer, health(1).len());
        }
        run_all_events(&mut event_loop);
        assert_eq!(health_checks(&received), [1], "{before_tick}");
    }
}

/// Guards against frames that stay queued: no event follows a write that was denied for want of memory rather than for
/// a full socket, and the connection would be closed 5 s later.
#[test]
fn retries_a_write_that_was_denied() {
    let (mut event_loop, address, _received) = event_loop(4, false);
    let mut peer = TcpStream::connect(address).unwrap();
    run_all_events(&mut event_loop);
    let connection = Arc::clone(&event_loop.readers[&1].connection);
    connection.simulate_denied_write(event_loop.shared.pool.copy(b"answer").unwrap());
    run_all_events(&mut event_loop);
    event_loop.tick(Instant::now());
    assert!(!connection.is_stalled() && connection.unsent_frames() == 0, "the frame is still queued");
    peer.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut answer = [0; 6];
    peer.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"answer");
}

/// Guards against connections that stay queued until another one arrives: after an interrupted accept, no event arrives
/// for them.
#[test]
fn accepts_queued_connections_without_an_event() {
    let (mut event_loop, address, received) = event_loop(4, false);
    let _peer = TcpStream::connect(address).unwrap();
    event_loop.acceptor.clear_ready(0);
    event_loop.tick(Instant::now());
    event_loop.accept();
    assert!(matches!(received.try_recv(), Ok(Input::ConnectionOpened(_))));
}

/// Guards against requests that are read and never answered at the end of the process: everything that has arrived is
/// delivered before the end of reading is reported, also on a throttled connection, and nothing after that.
#[test]
fn delivers_what_has_arrived_before_it_reports_the_end_of_reading() {
    let (mut event_loop, address, received) = event_loop(4, false);
    let mut peer = TcpStream::connect(address).unwrap();
    run_all_events(&mut event_loop);
    let checks = 1..=200;
    let messages: Vec<u8> = checks.clone().flat_map(health).collect();
    peer.write_all(&messages).unwrap();
    wait_until_unread(&peer, messages.len());
    let mut unaccepted = TcpStream::connect(address).unwrap();
    unaccepted.write_all(&health(201)).unwrap();
    event_loop.throttled.insert(*event_loop.readers.keys().next().unwrap(), Instant::now());
    event_loop.shared.stops.accepting.store(true, Ordering::SeqCst);
    event_loop.shared.stops.reading.store(true, Ordering::SeqCst);
    assert!(event_loop.end_reading_if_asked());
    let inputs: Vec<Input> = received.try_iter().collect();
    let delivered = inputs.iter().filter(|input| matches!(input, Input::HealthCheck { .. })).count();
    assert_eq!(delivered, 201);
    assert!(matches!(inputs.last(), Some(Input::StoppedReading)), "{:?}", inputs.last());
    peer.write_all(&health(202)).unwrap();
    wait_until_unread(&peer, health(202).len());
    run_all_events(&mut event_loop);
    assert!(event_loop.end_reading_if_asked());
    assert!(received.is_empty(), "something was read after the end of reading");
    assert_eq!(unread(&peer), 0, "it was discarded");
}

/// Guards against resets of queued connections because accepting them fails for a moment when the listener is to be closed.
#[test]
fn a_shortage_while_accepting_stops_resets_no_queued_connection() {
    let (mut event_loop, address, received) = event_loop(4, false);
    let _peer = TcpStream::connect(address).unwrap();
    event_loop.acceptor.simulate_shortages(0, 2);
    event_loop.shared.stops.accepting.store(true, Ordering::SeqCst);
    event_loop.accept();
    event_loop.accept();
    assert!(received.is_empty(), "the listener was closed with a connection in its queue");
    event_loop.accept();
    let inputs: Vec<Input> = received.try_iter().collect();
    assert!(matches!(inputs[..], [Input::ConnectionOpened(_), Input::StoppedAccepting]), "{inputs:?}");
    assert!(TcpStream::connect(address).is_err(), "the listener is closed");
}

/// A shortage that lasts doesn't delay the end of reading.
#[test]
fn the_end_of_reading_closes_a_listener_that_has_a_shortage() {
    let (mut event_loop, address, received) = event_loop(4, false);
    let _peer = TcpStream::connect(address).unwrap();
    event_loop.acceptor.simulate_shortages(0, 1_000);
    event_loop.shared.stops.accepting.store(true, Ordering::SeqCst);
    event_loop.shared.stops.reading.store(true, Ordering::SeqCst);
    event_loop.accept();
    assert!(event_loop.end_reading_if_asked());
    let inputs: Vec<Input> = received.try_iter().collect();
    assert!(matches!(inputs[..], [Input::StoppedAccepting, Input::StoppedReading]), "{inputs:?}");
}

fn health_frames(count: i32) -> Vec<u8> {
    (1..=count).flat_map(health).collect()
}

fn count_messages(inputs: &[Input]) -> usize {
    inputs.iter().filter(|input| matches!(input, Input::HealthCheck { .. })).count()
}

/// Waits until the kernel has reported the reset of the accepted connection.
fn wait_for_reset(event_loop: &EventLoop, id: ConnectionId) {
    use rustix::event::{PollFd, PollFlags, Timespec, poll};
    let socket = &event_loop.readers[&id].connection.socket;
    let timeout = Timespec { tv_sec: 20, tv_nsec: 0 };
    let mut polled = [PollFd::new(socket, PollFlags::empty())];
    assert_eq!(poll(&mut polled, Some(&timeout)).unwrap(), 1, "no reset");
    assert!(polled[0].revents().contains(PollFlags::ERR));
}

/// Guards against messages that are delivered although their sender has reset the connection: the system still returns what
/// arrived before (review, picture c). What came before a shut half is delivered.
#[test]
fn delivers_no_message_of_a_connection_that_was_reset() {
    for is_reset in [true, false] {
        let (mut event_loop, address, received) = event_loop(4, false);
        let mut peer = TcpStream::connect(address).unwrap();
        event_loop.accept();
        let id = *event_loop.readers.keys().next().unwrap();
        peer.write_all(&health_frames(32)).unwrap();
        if is_reset {
            rustix::net::sockopt::set_socket_linger(&peer, Some(Duration::ZERO)).unwrap();
            drop(peer);
            wait_for_reset(&event_loop, id);
        } else {
            peer.shutdown(std::net::Shutdown::Write).unwrap();
        }
        run_all_events(&mut event_loop);
        let inputs: Vec<Input> = received.try_iter().collect();
        assert_eq!(count_messages(&inputs), if is_reset { 0 } else { 32 }, "{inputs:?}");
        let is_closed = inputs.iter().any(|input| matches!(input, Input::ConnectionClosed(_)));
        assert_eq!(is_closed, is_reset, "{inputs:?}");
    }
}

/// Guards against a client that waits for all requests of hundreds of other connections: each connection delivers a few
/// messages in its turn (review, pictures a and b).
#[test]
fn connections_with_many_messages_take_turns() {
    let (mut event_loop, address, received) = event_loop(10, false);
    let mut peers: Vec<TcpStream> = (0..5).map(|_| TcpStream::connect(address).unwrap()).collect();
    event_loop.accept();
    received.try_iter().count();
    for peer in &mut peers {
        peer.write_all(&health_frames(60)).unwrap();
    }
    let mut last = TcpStream::connect(address).unwrap();
    last.write_all(&health_frames(1)).unwrap();
    for peer in peers.iter().chain([&last]) {
        wait_until_unread(peer, health(1).len());
    }
    event_loop.acceptor.set_all_ready();
    event_loop.accept();
    received.try_iter().count();
    event_loop.read_scheduled();
    let inputs: Vec<Input> = received.try_iter().collect();
    assert!(count_messages(&inputs) <= 5 * 2 + 1, "{}", count_messages(&inputs));
    let id = *event_loop.readers.keys().max().unwrap();
    let is_of_last =
        |input: &Input| matches!(input, Input::HealthCheck { connection, .. } if *connection == id);
    assert!(inputs.iter().any(is_of_last), "{inputs:?}");
    run_all_events(&mut event_loop);
    let rest: Vec<Input> = received.try_iter().collect();
    assert_eq!(count_messages(&inputs) + count_messages(&rest), 5 * 60 + 1, "all of them are delivered");
}
