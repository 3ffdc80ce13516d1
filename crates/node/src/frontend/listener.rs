//! Listening sockets of the front ends: TCP, TCP shared with another process, and UNIX sockets.

use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, listen, socket_with};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Connections that the system queues for the accept: about as many as a server has slots. With the standard library's
/// 128 the system drops part of the client proxies that reconnect at once while this process doesn't run, and those
/// retry only after a second or more.
const BACKLOG: i32 = 1024;

/// Where a front end listens.
pub enum Listener {
    /// An address of this process alone.
    Tcp(TcpListener),
    /// An address whose socket another process holds too.
    Shared(TcpListener),
    /// A UNIX socket and its path, which is removed when the listener is dropped.
    Unix(UnixListener, PathBuf),
}

impl Listener {
    /// Listens on an address.
    ///
    /// # Errors
    /// If the socket can't be made or bound.
    pub fn tcp(address: SocketAddr) -> io::Result<Self> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let listener = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        // As the standard library does: connections of an earlier process may still be in TIME_WAIT on the address.
        set_socket_reuseaddr(&listener, true)?;
        bind(&listener, &address)?;
        listen(&listener, BACKLOG)?;
        Ok(Self::Tcp(listener.into()))
    }

    /// Listens on a path. A socket file that no process listens on any more is removed first.
    ///
    /// # Errors
    /// If another process listens there, or the path can't be bound, as where a file that is no socket has it.
    pub fn unix(path: &Path) -> io::Result<Self> {
        if std::fs::symlink_metadata(path).is_ok_and(|file| file.file_type().is_socket()) {
            if UnixStream::connect(path).is_ok() {
                return Err(io::Error::new(ErrorKind::AddrInUse, "another process listens there"));
            }
            std::fs::remove_file(path)?;
        }
        Ok(Self::Unix(UnixListener::bind(path)?, path.into()))
    }

    /// Whether the socket belongs to this process alone, so that connections queued on it are lost when it is closed.
    pub(super) fn is_exclusive(&self) -> bool {
        !matches!(self, Self::Shared(_))
    }

    /// Lets [`Self::accept`] return `WouldBlock` where no connection is queued.
    pub(super) fn set_nonblocking(&self) -> io::Result<()> {
        match self {
            Self::Tcp(listener) | Self::Shared(listener) => listener.set_nonblocking(true),
            Self::Unix(listener, _) => listener.set_nonblocking(true),
        }
    }

    /// Accepts a queued connection; on TCP without Nagle's delay, as responses are written at once.
    pub(super) fn accept(&self) -> io::Result<OwnedFd> {
        match self {
            Self::Tcp(listener) | Self::Shared(listener) => {
                let (stream, _) = listener.accept()?;
                stream.set_nodelay(true)?;
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
