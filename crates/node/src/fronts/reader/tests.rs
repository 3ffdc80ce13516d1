use super::*;
use crate::fronts::thrift::Thrift;
use crate::settings::Live;
use crossbeam_channel::{Receiver, unbounded};
use gradepin_core::pool::Pool;
use slog::Logger;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;

/// A reader that has not run, with so many places, and what it tells.
fn reader(most: usize, shared: bool) -> (Reader, SocketAddr, Receiver<Input>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener = if shared { Listener::Shared(listener) } else { Listener::Tcp(listener) };
    let (inputs, came) = unbounded();
    let front: Arc<dyn Front> = Arc::new(Thrift::new(Live::new(&Default::default())));
    let log = Logger::root(slog::Discard, slog::o!());
    let shared = Shared {
        handles: Arc::default(),
        accepting: Arc::new(AtomicBool::new(true)),
        inputs,
        pool: Pool::new(4),
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
        let opened = inputs.iter().filter(|input| matches!(input, Input::Opened(_))).count();
        assert_eq!(opened, if shared { 0 } else { 40 });
        assert!(matches!(inputs.last(), Some(Input::NotAccepting)), "{inputs:?}");
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
        (0..4 + SPARE_PLACES + 3).map(|_| TcpStream::connect(address).unwrap()).collect();
    reader.accept();
    assert_eq!(came.try_iter().count(), 4 + SPARE_PLACES);
    let conn = |n: ConnId| Arc::clone(&reader.readings[&n].socket);
    conn(2).close();
    let lingering = conn(2);
    assert!(lingering.lingers_since().is_some());
    drop(lingering);
    reader.accept();
    let inputs: Vec<Input> = came.try_iter().collect();
    assert!(matches!(inputs[..], [Input::Closed(2), Input::Opened(_)]), "{inputs:?}");
}
