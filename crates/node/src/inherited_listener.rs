//! The environment variables of an upgrade: `$GW_ACCEPT_FD` is the descriptor of the inherited listening socket for
//! clients, shared by the old and the new process; `$TMPDIR` is a folder that both can use; `$GW_ADMIN_ADDR` is the
//! admin address.
//!
//! This module only reads and checks them. The reducer decides when to stop accepting on the listener.

use rustix::fd::OwnedFd;
use rustix::net::sockopt::{socket_acceptconn, socket_domain, socket_type};
use rustix::net::{AddressFamily, SocketType};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// The variable with the number of the inherited descriptor.
pub const ACCEPT_FD: &str = "GW_ACCEPT_FD";
/// The variable with the admin address, which overrides `admin_addr` of the configuration.
pub const ADMIN_ADDR: &str = "GW_ADMIN_ADDR";
/// The variable with the folder that both processes of an upgrade can use.
pub const SHARED_FOLDER: &str = "TMPDIR";

/// Why a variable can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The variable is no descriptor number.
    #[error("expected ${ACCEPT_FD} to be a descriptor number of 0 or more, got '{0}'")]
    Number(String),
    /// The descriptor can't be duplicated, usually because it is not open.
    #[error("descriptor {fd} of ${ACCEPT_FD} can't be duplicated: {source}")]
    Missing {
        /// Number of the descriptor.
        fd: i32,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The variable is no address with a port.
    #[error("expected ${ADMIN_ADDR} to be an address and port such as 127.0.0.1:9000, got '{0}'")]
    Address(String),
    /// The descriptor is no listening TCP socket.
    #[error("expected descriptor {fd} of ${ACCEPT_FD} to be a listening TCP socket, but it is {found}")]
    Kind {
        /// Number of the descriptor.
        fd: i32,
        /// Kind of the descriptor, as a phrase for the message.
        found: &'static str,
    },
}

/// Settings that the environment passes to this process.
#[derive(Debug, Clone, Default)]
pub struct InheritedListener {
    /// Descriptor of the inherited listening socket for clients, if there is one.
    pub accept_fd: Option<i32>,
    /// The admin address, if the environment sets one.
    pub admin_addr: Option<SocketAddr>,
    /// The folder that both processes of an upgrade can use; `None` unless the listener is inherited.
    pub shared_folder: Option<PathBuf>,
}

impl InheritedListener {
    /// Reads and checks the environment variables of this process.
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

/// Parses the value of [`ADMIN_ADDR`]; `None` if it is unset or blank.
pub fn admin_addr(value: Option<&str>) -> Result<Option<SocketAddr>, InheritedListenerError> {
    let Some(value) = value.filter(|value| !value.trim().is_empty()) else { return Ok(None) };
    value.trim().parse().map(Some).map_err(|_| InheritedListenerError::Address(value.into()))
}

/// Parses the value of [`ACCEPT_FD`]; `None` if it is unset.
pub fn accept_fd(value: Option<&str>) -> Result<Option<i32>, InheritedListenerError> {
    let Some(value) = value else { return Ok(None) };
    let number = value.trim().parse::<i32>().ok().filter(|fd| *fd >= 0);
    number.map(Some).ok_or_else(|| InheritedListenerError::Number(value.into()))
}

/// Returns the listening socket of an inherited descriptor number. The descriptor is duplicated through the process's
/// own pidfd, which needs no unsafe code; the original stays open and unused.
pub fn listener(fd: i32) -> Result<TcpListener, InheritedListenerError> {
    let missing = |errno: rustix::io::Errno| InheritedListenerError::Missing { fd, source: errno.into() };
    let process = pidfd_open(getpid(), PidfdFlags::empty()).map_err(missing)?;
    let socket: OwnedFd = pidfd_getfd(&process, fd, PidfdGetfdFlags::empty()).map_err(missing)?;
    check_is_listening_tcp(fd, &socket)?;
    Ok(TcpListener::from(socket))
}

/// Rejects files, pipes, connected sockets and Unix sockets at the start: accepting on them would fail only at the
/// first client, or accept connections of another kind.
fn check_is_listening_tcp(fd: i32, socket: &OwnedFd) -> Result<(), InheritedListenerError> {
    let kind = |found| InheritedListenerError::Kind { fd, found };
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
mod tests;
