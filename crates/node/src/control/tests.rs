use super::*;
use std::time::Duration;

/// Guards against a server that is on no endpoint list because it listens on an address of another family than the control
/// plane's, at the start and after a change of address. On a machine without IPv6 this test passes and shows nothing.
#[test]
fn reports_reach_a_control_plane_of_another_address_family() {
    let plane = UdpSocket::bind("127.0.0.1:0").expect("a port");
    plane.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket");
    let (listen, other) = ("[::1]:8443".parse().expect("an address"), "[::1]:9".parse().expect("an address"));
    let to = plane.local_addr().expect("an address");
    let assert_reported = |control: &Control| {
        control.report(true).expect("it leaves");
        let mut datagram = [0; 64];
        let length = plane.recv(&mut datagram).expect("a report");
        assert_eq!(&datagram[..length], b"lease n1 Ready");
    };
    let mut control = Control::new("n1", listen, to).expect("a socket");
    assert_reported(&control);
    control.retarget(other);
    control.retarget(to);
    assert_reported(&control);
    let mut moved = Control::new("n1", listen, other).expect("a socket");
    moved.retarget(to);
    assert_reported(&moved);
}
