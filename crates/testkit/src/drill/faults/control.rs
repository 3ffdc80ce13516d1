//! A control plane that writes down each report for the server that it is about, and may be away.

use super::record::Record;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Between looks at whether it is to end or to be away.
const LOOK: Duration = Duration::from_millis(20);

struct Shared {
    ends: AtomicBool,
    away: AtomicBool,
    servers: Mutex<Vec<(String, Arc<Record>)>>,
}

/// A running stand-in; it ends when this is dropped.
pub struct ControlPlane {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl ControlPlane {
    /// Listens on a loopback address of its own.
    pub fn start() -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let servers = Mutex::default();
        let shared = Arc::new(Shared { ends: AtomicBool::new(false), away: AtomicBool::new(false), servers });
        let mine = Arc::clone(&shared);
        thread::Builder::new().name("control".into()).spawn(move || take(socket, address, &mine))?;
        Ok(Self { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A server that reports here.
    pub fn expect(&self, name: &str, record: &Arc<Record>) {
        let mut servers = self.shared.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.push((name.to_string(), Arc::clone(record)));
    }

    /// Closes its address, or opens it again.
    pub fn away(&self, away: bool) {
        self.shared.away.store(away, Ordering::SeqCst);
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::SeqCst);
    }
}

fn take(socket: UdpSocket, address: SocketAddr, shared: &Shared) {
    let mut datagram = [0; 2048];
    let mut socket = Some(socket);
    while !shared.ends.load(Ordering::SeqCst) {
        if shared.away.load(Ordering::SeqCst) {
            socket = None;
            thread::sleep(LOOK);
            continue;
        }
        if socket.is_none() {
            socket = UdpSocket::bind(address).ok();
        }
        let Some(open) = &socket else { continue };
        let _ = open.set_read_timeout(Some(LOOK));
        if let Ok((len, from)) = open.recv_from(&mut datagram) {
            shared.report(&datagram[..len], from);
        }
    }
}

impl Shared {
    /// Told to the server that it names; where it names none, to all of them as foreign.
    fn report(&self, datagram: &[u8], from: SocketAddr) {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let text = String::from_utf8_lossy(datagram).into_owned();
        let named = text.split(' ').nth(1).and_then(|word| servers.iter().find(|(name, _)| name == word));
        match named {
            Some((_, record)) => record.entries().reports.push(datagram.to_vec()),
            None => {
                for (_, record) in &*servers {
                    record.foreign(format!("the report '{}' from {from}", datagram.escape_ascii()));
                }
            }
        }
    }
}
