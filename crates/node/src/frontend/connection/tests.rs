use super::*;
use crate::frontend::thrift::Thrift;
use crate::settings::ActiveSettings;
use gradepin_core::buffer_pool::BufferPool;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Opens a connection and returns it with the client's socket.
fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let protocol = Arc::new(Thrift::new(ActiveSettings::new(&Default::default())));
    (Connection::new(listener.accept().unwrap().0.into(), protocol, &Arc::default()), peer)
}

/// Waits until a byte of the peer has arrived, without reading it.
fn wait_for_byte(conn: &Connection) {
    recv(&conn.socket, &mut [0_u8; 1][..], RecvFlags::PEEK).unwrap();
}

fn is_open(conn: &Connection) -> bool {
    conn.inner().state == ConnectionState::Open
}

/// Guards against closing a connection whose request is still in the socket, in the reader or in the queue: the reducer
/// doesn't know it yet, and it would be lost without a response.
#[test]
fn closes_an_idle_connection_only_while_nothing_is_in_progress() {
    let (conn, mut peer) = pair();
    conn.begin_read();
    conn.close_when_idle(0);
    assert!(is_open(&conn), "the reader is active");
    assert!(conn.count_delivery());
    conn.set_idle();
    assert!(is_open(&conn), "a message was delivered since");
    conn.close_when_idle(0);
    assert!(is_open(&conn), "a message is in the queue");
    peer.write_all(&[0]).unwrap();
    wait_for_byte(&conn);
    conn.close_when_idle(1);
    assert!(is_open(&conn), "a byte is unread");
    // The reader consumes the byte without a complete message and waits for more.
    conn.begin_read();
    recv(&conn.socket, &mut [0_u8; 1][..], RecvFlags::empty()).unwrap();
    conn.set_idle();
    assert!(matches!(conn.inner().state, ConnectionState::Lingering { .. }));
}

/// Guards against a connection that stays open because its close was requested after a message was answered, but just
/// before its reader became idle.
#[test]
fn close_requested_during_a_read_is_carried_out_when_idle() {
    let (conn, _peer) = pair();
    conn.begin_read();
    assert!(conn.count_delivery());
    conn.close_when_idle(1);
    assert!(is_open(&conn), "the reader is active");
    conn.set_idle();
    assert!(matches!(conn.inner().state, ConnectionState::Lingering { .. }));
}

/// Guards against a request that is read before a close and delivered after it: it would run, but its response would be
/// lost. Either the read comes first and the close waits, or the close comes first and the request is not delivered.
#[test]
fn message_read_during_a_close_is_delivered_or_never_counted() {
    let (conn, mut peer) = pair();
    conn.set_idle();
    // The read starts before the close: the close waits, and the request is delivered.
    peer.write_all(b"request").unwrap();
    wait_for_byte(&conn);
    assert_eq!(conn.begin_read(), ConnectionState::Open);
    recv(&conn.socket, &mut [0_u8; 16][..], RecvFlags::empty()).unwrap();
    conn.close_when_idle(0);
    assert!(conn.count_delivery());
    // The close comes first: a message read afterwards is not delivered.
    conn.set_idle();
    conn.close_when_idle(1);
    peer.write_all(b"request").unwrap();
    wait_for_byte(&conn);
    assert!(matches!(conn.begin_read(), ConnectionState::Lingering { .. }));
    assert!(!conn.count_delivery());
}

/// Guards against frames reordered when the socket is full, and against a close that loses queued frames.
#[test]
fn frames_keep_their_order_through_a_full_socket_and_a_close_flushes_them() {
    let (conn, mut peer) = pair();
    let (pool, count) = (BufferPool::new(4), 4_000_u32);
    for n in 0..count {
        let mut frame = pool.take();
        assert!(frame.extend(&n.to_be_bytes()) && frame.extend(&[7; 4_000]));
        conn.send(frame);
    }
    assert!(conn.unsent_frames() > 0, "the socket was never full");
    conn.close();
    assert_eq!(conn.inner().state, ConnectionState::Flushing);
    conn.send(pool.copy(b"late").unwrap());
    let reads = std::thread::spawn(move || {
        let mut all = Vec::new();
        peer.read_to_end(&mut all).map(|_| all)
    });
    while conn.flush().unsent_frames > 0 {
        std::thread::yield_now();
    }
    assert!(matches!(conn.inner().state, ConnectionState::Lingering { .. }));
    let all = reads.join().unwrap().unwrap();
    let numbers: Vec<u32> =
        all.chunks(4_004).map(|frame| u32::from_be_bytes(*frame.first_chunk().unwrap())).collect();
    assert!(numbers.into_iter().eq(0..count));
}

/// Guards against lost responses: closing a socket with unread bytes resets the connection.
#[test]
fn written_response_survives_bytes_that_arrive_after_the_close() {
    let (conn, mut peer) = pair();
    conn.set_idle();
    conn.send(BufferPool::new(1).copy(b"answer").unwrap());
    conn.close_when_idle(0);
    peer.write_all(b"half a li").unwrap();
    wait_for_byte(&conn);
    // Reads up to the peer's end of file, as the reader does.
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    while recv(&conn.socket, &mut [0_u8; 4][..], RecvFlags::empty()).unwrap().0 > 0 {}
    drop(conn);
    let mut all = Vec::new();
    peer.read_to_end(&mut all).expect("no reset");
    assert_eq!(all, b"answer");
}

/// Guards against peers that read nothing or never shut down their half, and occupy their slots forever.
#[test]
fn times_out_a_peer_that_reads_nothing_or_never_ends_its_half() {
    let (conn, _peer) = pair();
    let start = Instant::now();
    assert!(!conn.is_timed_out(start + WRITE_TIMEOUT * 9), "the connection is idle");
    let pool = BufferPool::new(4);
    while conn.unsent_frames() == 0 {
        let mut frame = pool.take();
        assert!(frame.extend(&[7; 4_000]));
        conn.send(frame);
    }
    assert!(!conn.is_timed_out(start) && conn.is_timed_out(Instant::now() + WRITE_TIMEOUT));
    let (conn, _peer) = pair();
    conn.close();
    assert!(!conn.is_timed_out(start) && conn.is_timed_out(Instant::now() + LINGER_TIMEOUT));
}

/// Guards against a message that is completed at the moment of its timeout but discarded without a response, and
/// against an incomplete message that occupies its slot forever.
#[test]
fn closes_a_timed_out_connection_mid_message_but_with_no_byte_unread() {
    for also_close_when_idle in [false, true] {
        let (conn, mut peer) = pair();
        peer.write_all(b"half").unwrap();
        wait_for_byte(&conn);
        conn.begin_read();
        recv(&conn.socket, &mut [0_u8; 4][..], RecvFlags::empty()).unwrap();
        conn.close_timed_out(0);
        assert!(is_open(&conn), "the reader is active");
        peer.write_all(b"m").unwrap();
        wait_for_byte(&conn);
        conn.set_mid_message();
        assert!(is_open(&conn), "a byte is unread");
        if also_close_when_idle {
            conn.close_when_idle(0);
        }
        conn.begin_read();
        recv(&conn.socket, &mut [0_u8; 1][..], RecvFlags::empty()).unwrap();
        conn.set_mid_message();
        assert!(matches!(conn.inner().state, ConnectionState::Lingering { .. }), "{also_close_when_idle}");
    }
    let (conn, _peer) = pair();
    conn.begin_read();
    conn.set_mid_message();
    conn.close_when_idle(0);
    assert!(is_open(&conn), "an incomplete message that has not timed out keeps the connection open");
    assert!(conn.count_delivery());
    conn.close_timed_out(0);
    conn.set_idle();
    assert!(is_open(&conn), "a message was delivered since");
}
