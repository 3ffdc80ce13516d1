use super::*;
use std::net::{TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

/// Guards the start of an upgrade: an invalid value is rejected with an error that names the variable.
#[test]
fn reads_variables_or_names_the_invalid_one() {
    assert_eq!(accept_fd(None).unwrap(), None);
    assert_eq!(accept_fd(Some("3")).unwrap(), Some(3));
    for bad in ["", "three", "-1", "3.0"] {
        let error = accept_fd(Some(bad)).unwrap_err().to_string();
        assert!(error.contains(ACCEPT_FD), "{error}");
    }
    assert_eq!(admin_addr(Some("127.0.0.1:9000")).unwrap(), Some("127.0.0.1:9000".parse().unwrap()));
    assert_eq!(admin_addr(Some("")).unwrap(), None);
    let error = admin_addr(Some("localhost")).unwrap_err().to_string();
    assert!(error.contains(ADMIN_ADDR), "{error}");
}

/// Guards against serving on a descriptor that is no listening TCP socket, and against rejecting one that is.
#[test]
fn accepts_only_a_listening_tcp_socket() {
    let listening = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listening.local_addr().unwrap();
    let inherited = listener(listening.as_raw_fd()).unwrap();
    assert_eq!(inherited.local_addr().unwrap(), address);
    let _client = TcpStream::connect(address).unwrap();
    inherited.accept().unwrap();

    let datagram = UdpSocket::bind("127.0.0.1:0").unwrap();
    let error = listener(datagram.as_raw_fd()).unwrap_err().to_string();
    assert!(error.contains("datagram"), "{error}");
    let connected = TcpStream::connect(address).unwrap();
    let error = listener(connected.as_raw_fd()).unwrap_err().to_string();
    assert!(error.contains("does not listen"), "{error}");
    let file = std::fs::File::open("/dev/null").unwrap();
    let error = listener(file.as_raw_fd()).unwrap_err().to_string();
    assert!(error.contains("no socket"), "{error}");
    assert!(matches!(listener(100_000), Err(InheritedListenerError::Missing { fd: 100_000, .. })));
}
