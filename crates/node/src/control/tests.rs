use super::*;
use std::time::Duration;

/// Guards against a server that is missing from every endpoint list because its listen address and the control plane's
/// address have different families, at the start and after a change of address. Without IPv6 this test proves nothing.
#[test]
fn reports_reach_a_control_plane_of_another_address_family() {
    let plane = UdpSocket::bind("127.0.0.1:0").expect("a port");
    plane.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket");
    let (listen, other) = ("[::1]:8443".parse().expect("an address"), "[::1]:9".parse().expect("an address"));
    let to = plane.local_addr().expect("an address");
    let assert_reported = |control: &Control| {
        control.report(true).expect("a sent report");
        let mut datagram = [0; 64];
        let length = plane.recv(&mut datagram).expect("a report");
        assert_eq!(&datagram[..length], b"lease n1 Ready");
    };
    let mut control = Control::new("n1", listen, to).expect("a socket");
    assert_reported(&control);
    control.retarget(other);
    control.retarget(to);
    assert_reported(&control);
    let mut retargeted = Control::new("n1", listen, other).expect("a socket");
    retargeted.retarget(to);
    assert_reported(&retargeted);
}
