use super::*;
use crate::frontend::thrift::Thrift;
use crate::settings::ActiveSettings;
use gradepin_core::buffer_pool::BufferPool;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// A connection and its peer.
fn pair() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let front = Arc::new(Thrift::new(ActiveSettings::new(&Default::default())));
    (Conn::new(listener.accept().unwrap().0.into(), front, &Arc::default()), peer)
}

/// Waits until a byte of the peer is here, without taking it.
fn arrived(conn: &Conn) {
    recv(&conn.socket, &mut [0_u8; 1][..], RecvFlags::PEEK).unwrap();
}

fn is_open(conn: &Conn) -> bool {
    conn.life().stage == Stage::Open
}

/// Guards against a connection closed with a request in the socket, with its reader or in the queue, which the reducer
/// doesn't know of: a server that was told to leave closed 20 so, unanswered.
#[test]
fn a_connection_is_closed_as_resting_only_while_nothing_is_under_way() {
    let (conn, mut peer) = pair();
    conn.turn();
    conn.close_resting(0);
    assert!(is_open(&conn), "the reader has it in hand");
    assert!(conn.pass());
    conn.rest();
    assert!(is_open(&conn), "a message was passed on since");
    conn.close_resting(0);
    assert!(is_open(&conn), "a message is in the queue");
    peer.write_all(&[0]).unwrap();
    arrived(&conn);
    conn.close_resting(1);
    assert!(is_open(&conn), "a byte is unread");
    // The reader finds no message in it, and rests.
    conn.turn();
    recv(&conn.socket, &mut [0_u8; 1][..], RecvFlags::empty()).unwrap();
    conn.rest();
    assert!(matches!(conn.life().stage, Stage::Lingering(_)));
}

/// Guards against a connection that stays open because it was to be closed in the instant before its reader was done
/// with the message that was just answered.
#[test]
fn a_close_that_comes_in_the_readers_turn_is_carried_out_when_it_rests() {
    let (conn, _peer) = pair();
    conn.turn();
    assert!(conn.pass());
    conn.close_resting(1);
    assert!(is_open(&conn), "the reader has it in hand");
    conn.rest();
    assert!(matches!(conn.life().stage, Stage::Lingering(_)));
}

/// Guards against a request that arrives in the instant of the close: read before it and passed on after it, it would run
/// and its answer be lost. Whichever of the two is first holds.
#[test]
fn what_is_read_in_the_instant_of_a_close_is_passed_on_or_the_close_waits() {
    let (conn, mut peer) = pair();
    conn.rest();
    // The reader's turn begins before the close: the close waits, and the request is passed on.
    peer.write_all(b"request").unwrap();
    arrived(&conn);
    assert_eq!(conn.turn(), Stage::Open);
    recv(&conn.socket, &mut [0_u8; 16][..], RecvFlags::empty()).unwrap();
    conn.close_resting(0);
    assert!(conn.pass());
    // The close is first: what the reader finds then is not passed on.
    conn.rest();
    conn.close_resting(1);
    peer.write_all(b"request").unwrap();
    arrived(&conn);
    assert!(matches!(conn.turn(), Stage::Lingering(_)));
    assert!(!conn.pass());
}

/// Guards against frames that overtake one another when the socket is full, and against a close that loses what waits.
/// No thread is needed for any of it.
#[test]
fn frames_keep_their_order_through_a_full_socket_and_a_close_waits_for_them() {
    let (conn, mut peer) = pair();
    let (pool, count) = (BufferPool::new(4), 4_000_u32);
    for n in 0..count {
        let mut frame = pool.take();
        assert!(frame.extend(&n.to_be_bytes()) && frame.extend(&[7; 4_000]));
        conn.send(frame);
    }
    assert!(conn.unread() > 0, "the socket was never full");
    conn.close();
    assert_eq!(conn.life().stage, Stage::Closing);
    conn.send(pool.copy(b"late").unwrap());
    let reads = std::thread::spawn(move || {
        let mut all = Vec::new();
        peer.read_to_end(&mut all).map(|_| all)
    });
    while conn.flush() > 0 {
        std::thread::yield_now();
    }
    assert!(matches!(conn.life().stage, Stage::Lingering(_)));
    let all = reads.join().unwrap().unwrap();
    let numbers: Vec<u32> =
        all.chunks(4_004).map(|frame| u32::from_be_bytes(*frame.first_chunk().unwrap())).collect();
    assert!(numbers.into_iter().eq(0..count));
}

/// Guards against a reset that takes an answer along: bytes of the peer that are unread at a close reset it.
#[test]
fn an_answer_just_written_survives_bytes_that_come_behind_the_close() {
    let (conn, mut peer) = pair();
    conn.rest();
    conn.send(BufferPool::new(1).copy(b"answer").unwrap());
    conn.close_resting(0);
    peer.write_all(b"half a li").unwrap();
    arrived(&conn);
    // As the reader does, up to the peer's end.
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    while recv(&conn.socket, &mut [0_u8; 4][..], RecvFlags::empty()).unwrap().0 > 0 {}
    drop(conn);
    let mut all = Vec::new();
    peer.read_to_end(&mut all).expect("no reset");
    assert_eq!(all, b"answer");
}

/// Guards against peers that take nothing, or never end their half, and hold their places for good.
#[test]
fn a_peer_that_takes_nothing_or_never_ends_is_overdue() {
    let (conn, _peer) = pair();
    let start = Instant::now();
    assert!(!conn.is_overdue(start + WRITE_PATIENCE * 9), "it rests");
    let pool = BufferPool::new(4);
    while conn.unread() == 0 {
        let mut frame = pool.take();
        assert!(frame.extend(&[7; 4_000]));
        conn.send(frame);
    }
    assert!(!conn.is_overdue(start) && conn.is_overdue(Instant::now() + WRITE_PATIENCE));
    let (conn, _peer) = pair();
    conn.close();
    assert!(!conn.is_overdue(start) && conn.is_overdue(Instant::now() + LINGER));
}

/// Guards against a message that becomes whole in the instant in which it is found late, and is thrown away unanswered; and
/// against half a message that holds its place for good.
#[test]
fn a_late_connection_is_closed_though_half_a_message_is_here_but_with_no_byte_unread() {
    for resting_too in [false, true] {
        let (conn, mut peer) = pair();
        peer.write_all(b"half").unwrap();
        arrived(&conn);
        conn.turn();
        recv(&conn.socket, &mut [0_u8; 4][..], RecvFlags::empty()).unwrap();
        conn.close_late(0);
        assert!(is_open(&conn), "the reader has it in hand");
        peer.write_all(b"m").unwrap();
        arrived(&conn);
        conn.rest_in_message();
        assert!(is_open(&conn), "a byte is unread");
        if resting_too {
            conn.close_resting(0);
        }
        conn.turn();
        recv(&conn.socket, &mut [0_u8; 1][..], RecvFlags::empty()).unwrap();
        conn.rest_in_message();
        assert!(matches!(conn.life().stage, Stage::Lingering(_)), "{resting_too}");
    }
    let (conn, _peer) = pair();
    conn.turn();
    conn.rest_in_message();
    conn.close_resting(0);
    assert!(is_open(&conn), "half a message holds it, unless it is late");
    assert!(conn.pass());
    conn.close_late(0);
    conn.rest();
    assert!(is_open(&conn), "a message was passed on since");
}
