//! A stand-in for the control plane. It records each report for the server named in it, and can be made unreachable.

use super::record::Record;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval between checks whether to stop or to close the socket.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Shared {
    stopping: AtomicBool,
    away: AtomicBool,
    servers: Mutex<Vec<(String, Arc<Record>)>>,
}

/// A running stand-in; it stops when this is dropped.
pub struct ControlPlane {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl ControlPlane {
    /// Starts a control plane on its own loopback address.
    pub fn start() -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let servers = Mutex::default();
        let shared =
            Arc::new(Shared { stopping: AtomicBool::new(false), away: AtomicBool::new(false), servers });
        let mine = Arc::clone(&shared);
        thread::Builder::new()
            .name("control".into())
            .spawn(move || receive_reports(socket, address, &mine))?;
        Ok(Self { shared, address })
    }

    /// The address to which servers report.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a server whose reports are recorded.
    pub fn expect(&self, name: &str, record: &Arc<Record>) {
        let mut servers = self.shared.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.push((name.to_string(), Arc::clone(record)));
    }

    /// Closes or reopens the socket.
    pub fn away(&self, away: bool) {
        self.shared.away.store(away, Ordering::SeqCst);
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }
}

fn receive_reports(socket: UdpSocket, address: SocketAddr, shared: &Shared) {
    let mut datagram = [0; 2048];
    let mut socket = Some(socket);
    while !shared.stopping.load(Ordering::SeqCst) {
        if shared.away.load(Ordering::SeqCst) {
            socket = None;
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        if socket.is_none() {
            socket = UdpSocket::bind(address).ok();
        }
        let Some(open) = &socket else { continue };
        let _ = open.set_read_timeout(Some(POLL_INTERVAL));
        if let Ok((len, from)) = open.recv_from(&mut datagram) {
            shared.report(&datagram[..len], from);
        }
    }
}

impl Shared {
    /// Records a report for the server that it names; a report without a known name is recorded as unattributed for
    /// all servers.
    fn report(&self, datagram: &[u8], from: SocketAddr) {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let text = String::from_utf8_lossy(datagram).into_owned();
        let named = text.split(' ').nth(1).and_then(|word| servers.iter().find(|(name, _)| name == word));
        match named {
            Some((_, record)) => record.entries().reports.push(datagram.to_vec()),
            None => {
                for (_, record) in &*servers {
                    record.unattributed(format!("the report '{}' from {from}", datagram.escape_ascii()));
                }
            }
        }
    }
}
