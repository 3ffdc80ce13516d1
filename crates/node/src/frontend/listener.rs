//! Listening sockets of the front ends: TCP sockets, TCP sockets shared with another process, and UNIX sockets.

use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, listen, socket_with};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Connections that the system queues until they are accepted: about the number of connection slots of a server. With
/// the standard library's 128, the system drops some connections when all client proxies reconnect while this process
/// is suspended, and those retry only after a second or more.
const BACKLOG: i32 = 1024;

/// A listening socket of a front end.
pub enum Listener {
    /// A TCP socket of this process alone.
    Tcp(TcpListener),
    /// A TCP socket that another process has open too.
    Shared(TcpListener),
    /// A UNIX socket and its path; dropping the listener removes the path.
    Unix(UnixListener, PathBuf),
}

impl Listener {
    /// Listens on a TCP address.
    ///
    /// # Errors
    /// If the socket can't be created or bound.
    pub fn tcp(address: SocketAddr) -> io::Result<Self> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let listener = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        // As in the standard library: connections of an earlier process may still be in TIME_WAIT on the address.
        set_socket_reuseaddr(&listener, true)?;
        bind(&listener, &address)?;
        listen(&listener, BACKLOG)?;
        Ok(Self::Tcp(listener.into()))
    }

    /// Listens on a UNIX socket. If its path is a socket that no process listens on any more, that is removed first.
    ///
    /// # Errors
    /// If another process listens on the path, or it can't be bound, for example because it is a file of another type.
    pub fn unix(path: &Path) -> io::Result<Self> {
        if std::fs::symlink_metadata(path).is_ok_and(|file| file.file_type().is_socket()) {
            if UnixStream::connect(path).is_ok() {
                return Err(io::Error::new(ErrorKind::AddrInUse, "another process listens on this path"));
            }
            std::fs::remove_file(path)?;
        }
        Ok(Self::Unix(UnixListener::bind(path)?, path.into()))
    }

    /// Whether only this process has the socket open, so that closing it loses the connections queued on it.
    pub(super) fn is_exclusive(&self) -> bool {
        !matches!(self, Self::Shared(_))
    }

    /// Makes [`Self::accept`] return `WouldBlock` if no connection is queued.
    pub(super) fn set_nonblocking(&self) -> io::Result<()> {
        match self {
            Self::Tcp(listener) | Self::Shared(listener) => listener.set_nonblocking(true),
            Self::Unix(listener, _) => listener.set_nonblocking(true),
        }
    }

    /// Accepts a queued connection. Nagle's algorithm is disabled on TCP because responses are written as a whole.
    pub(super) fn accept(&self) -> io::Result<OwnedFd> {
        match self {
            Self::Tcp(listener) | Self::Shared(listener) => {
                let (stream, _) = listener.accept()?;
                // A failure only delays responses; the connection was accepted.
                let _ = stream.set_nodelay(true);
                Ok(stream.into())
            }
            Self::Unix(listener, _) => Ok(listener.accept()?.0.into()),
        }
    }
}

impl AsFd for Listener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            Self::Tcp(listener) | Self::Shared(listener) => listener.as_fd(),
            Self::Unix(listener, _) => listener.as_fd(),
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Self::Unix(_, path) = self {
            let _ = std::fs::remove_file(path);
        }
    }
}
