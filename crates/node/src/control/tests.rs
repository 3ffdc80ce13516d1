use super::*;
use std::time::Duration;

/// Guards against a server that nobody lists because it listens on an address of another family than the control plane's, at
/// the start and after a move. A machine without IPv6 shows nothing of it, and holds all the same.
#[test]
fn reports_reach_a_control_plane_of_another_family() {
    let plane = UdpSocket::bind("127.0.0.1:0").expect("a port");
    plane.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket");
    let (listen, other) = ("[::1]:8443".parse().expect("an address"), "[::1]:9".parse().expect("an address"));
    let to = plane.local_addr().expect("an address");
    let heard = |control: &Control| {
        control.report(true).expect("it leaves");
        let mut datagram = [0; 64];
        let length = plane.recv(&mut datagram).expect("a report");
        assert_eq!(&datagram[..length], b"lease n1 Ready");
    };
    let mut control = Control::new("n1", listen, to).expect("a socket");
    heard(&control);
    control.retarget(other);
    control.retarget(to);
    heard(&control);
    let mut moved = Control::new("n1", listen, other).expect("a socket");
    moved.retarget(to);
    heard(&moved);
}
