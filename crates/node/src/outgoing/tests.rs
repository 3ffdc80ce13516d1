use super::*;
use gradepin_core::buffer_pool::BufferPool;
use std::io::Read;
use std::net::{TcpListener, TcpStream};

/// Guards against frames reordered when the socket is full: the processor would misread parts of one command as
/// another.
#[test]
fn keeps_the_order_of_frames_through_a_full_socket() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let out = Arc::new(FrameWriter::new(listener.accept().unwrap().0.into()));
    let (pool, count) = (BufferPool::new(4), 4_000_u32);
    for n in 0..count {
        let mut frame = pool.take();
        assert!(frame.extend(&n.to_be_bytes()) && frame.extend(&[7; 4_000]));
        out.send(frame);
    }
    assert!(!out.queue().waiting.is_empty(), "the socket was never full");
    for n in 0..count {
        let mut frame = [0; 4_004];
        peer.read_exact(&mut frame).unwrap();
        assert_eq!(frame[..4], n.to_be_bytes());
    }
    out.shut();
    assert_eq!(peer.read(&mut [0; 1]).unwrap(), 0);
}
