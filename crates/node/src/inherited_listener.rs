//! What the platform hands a process beside its configuration: on the days of an upgrade, the clients' listening
//! socket, which the old process and the new one share, as an inherited descriptor named in `$GW_ACCEPT_FD`.
//!
//! Only the descriptor is taken here; when to stop accepting on it is the reducer's to say.

use rustix::fd::OwnedFd;
use rustix::net::sockopt::{socket_acceptconn, socket_domain, socket_type};
use rustix::net::{AddressFamily, SocketType};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// The variable that names the inherited descriptor.
pub const ACCEPT_FD: &str = "GW_ACCEPT_FD";
/// The variable that names the operators' address, in place of `admin_addr` of the configuration.
pub const ADMIN_ADDR: &str = "GW_ADMIN_ADDR";
/// The variable that names the folder common to both processes.
pub const SHARED_FOLDER: &str = "TMPDIR";

/// Why an inherited descriptor can't serve as the clients' listener.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The variable holds no descriptor number.
    #[error("expected ${ACCEPT_FD} to be a descriptor number of 0 or more, got '{0}'")]
    Number(String),
    /// The descriptor can't be had.
    #[error("descriptor {fd} of ${ACCEPT_FD} can't be taken: {why}")]
    Missing {
        /// Its number.
        fd: i32,
        /// What the system says.
        why: std::io::Error,
    },
    /// The operators' address is none.
    #[error("expected ${ADMIN_ADDR} to be an address and port such as 127.0.0.1:9000, got '{0}'")]
    Address(String),
    /// It is something else than a listening TCP socket.
    #[error("expected descriptor {fd} of ${ACCEPT_FD} to be a listening TCP socket, but it is {what}")]
    Kind {
        /// Its number.
        fd: i32,
        /// What it is instead.
        what: &'static str,
    },
}

/// What the platform handed this process.
#[derive(Debug, Clone, Default)]
pub struct InheritedListener {
    /// The clients' listening socket, where it is inherited.
    pub accept_fd: Option<i32>,
    /// Where operators call, if the environment says.
    pub admin_addr: Option<SocketAddr>,
    /// The folder that both processes of an upgrade have, where the listener is inherited.
    pub shared_folder: Option<PathBuf>,
}

impl InheritedListener {
    /// As the environment tells.
    pub fn from_env() -> Result<Self, InheritedListenerError> {
        let value = std::env::var(ACCEPT_FD).ok();
        let admin = std::env::var(ADMIN_ADDR).ok();
        let accept_fd = accept_fd(value.as_deref())?;
        let folder =
            std::env::var_os(SHARED_FOLDER).filter(|folder| accept_fd.is_some() && !folder.is_empty());
        let admin_addr = admin_addr(admin.as_deref())?;
        Ok(Self { accept_fd, admin_addr, shared_folder: folder.map(PathBuf::from) })
    }
}

/// The address in the variable, if it is set and not empty.
pub fn admin_addr(value: Option<&str>) -> Result<Option<SocketAddr>, InheritedListenerError> {
    let Some(value) = value.filter(|value| !value.trim().is_empty()) else { return Ok(None) };
    value.trim().parse().map(Some).map_err(|_| InheritedListenerError::Address(value.into()))
}

/// The number in the variable, if it is set.
pub fn accept_fd(value: Option<&str>) -> Result<Option<i32>, InheritedListenerError> {
    let Some(value) = value else { return Ok(None) };
    let number = value.trim().parse::<i32>().ok().filter(|fd| *fd >= 0);
    number.map(Some).ok_or_else(|| InheritedListenerError::Number(value.into()))
}

/// The listening socket behind an inherited descriptor number. The descriptor is duplicated by way of the process's
/// own pidfd, which std and rustix allow without unsafe code; the original stays open beside it and is never read.
pub fn listener(fd: i32) -> Result<TcpListener, InheritedListenerError> {
    let missing = |why: rustix::io::Errno| InheritedListenerError::Missing { fd, why: why.into() };
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(missing)?;
    let socket: OwnedFd = pidfd_getfd(&own, fd, PidfdGetfdFlags::empty()).map_err(missing)?;
    check(fd, &socket)?;
    Ok(TcpListener::from(socket))
}

/// Guards against a descriptor that is a file, a pipe, a connected socket or a Unix one: accepting on it would fail
/// at the first client, long after the start, or take connections of another kind.
fn check(fd: i32, socket: &OwnedFd) -> Result<(), InheritedListenerError> {
    let kind = |what| InheritedListenerError::Kind { fd, what };
    let domain = socket_domain(socket).map_err(|_| kind("no socket"))?;
    if domain != AddressFamily::INET && domain != AddressFamily::INET6 {
        return Err(kind("a socket of another family than IPv4 or IPv6"));
    }
    if socket_type(socket).map_err(|_| kind("no socket"))? != SocketType::STREAM {
        return Err(kind("a datagram socket"));
    }
    if !socket_acceptconn(socket).map_err(|_| kind("no socket"))? {
        return Err(kind("a TCP socket that does not listen"));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    /// Guards the start of an upgrade: a number that is none is refused with the variable named.
    #[test]
    fn a_number_is_read_or_refused() {
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

    /// Guards against serving on what is no listening TCP socket, and against losing the one that is.
    #[test]
    fn only_a_listening_tcp_socket_is_taken() {
        let listening = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listening.local_addr().unwrap();
        let taken = listener(listening.as_raw_fd()).unwrap();
        assert_eq!(taken.local_addr().unwrap(), address);
        let _client = TcpStream::connect(address).unwrap();
        taken.accept().unwrap();

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
}
