//! A stand-in for a peer of one server. It sends datagrams that are random, truncated, altered or replayed. It has no
//! key, so the server must not accept any of them.

use super::plan::DatagramFault;
use super::random::Random;
use crate::fleet::KEY;
use std::fs;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum datagram length, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Time for which the server's datagrams are collected, from which the invalid ones are derived.
const COLLECT_DURATION: Duration = Duration::from_millis(400);
/// Interval between datagrams, so that the server reads them and the system drops none.
const SEND_INTERVAL: Duration = Duration::from_micros(300);

/// A stand-in for a peer of one server.
pub struct Peer {
    socket: UdpSocket,
    server: SocketAddr,
}

impl Peer {
    /// Opens a socket; `server` is the server's gossip address.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(SEND_INTERVAL))?;
        Ok(Self { socket, server })
    }

    /// Writes the server's own settings, with this peer as a seed of the cluster.
    pub fn write_settings(&self, folder: &Path, name: &str) -> io::Result<PathBuf> {
        let (key, path) = (folder.join(format!("{name}.keys")), folder.join(format!("{name}.kdl")));
        fs::write(&key, KEY)?;
        let key = key.display().to_string();
        let (own, peer) = (self.server, self.socket.local_addr()?);
        fs::write(
            &path,
            format!(
                "cluster {{\n    listen \"{own}\"\n    advertise \"{own}\"\n    zone \"z\"\n    seed \"{peer}\"\n    key-file {key:?}\n}}\n"
            ),
        )?;
        Ok(path)
    }

    /// Sends the datagrams of a fault.
    pub fn send(&self, fault: DatagramFault, random: &mut Random) {
        let real = self.collect();
        let count = match fault {
            DatagramFault::Garbage(count)
            | DatagramFault::Cut(count)
            | DatagramFault::Flipped(count)
            | DatagramFault::Replayed(count) => count,
        };
        for n in 0..count {
            let Some(datagram) = derive_datagram(fault, &real, n, random) else { return };
            // Sending fails if the server has ended; the oracle reports that.
            let _ = self.socket.send_to(&datagram, self.server);
            thread::sleep(SEND_INTERVAL);
        }
    }

    fn collect(&self) -> Vec<Vec<u8>> {
        let (start, mut real, mut datagram) = (Instant::now(), Vec::new(), [0; MAX_DATAGRAM_BYTES]);
        while start.elapsed() < COLLECT_DURATION {
            if let Ok(len) = self.socket.recv(&mut datagram) {
                real.push(datagram[..len].to_vec());
            }
        }
        real
    }
}

/// Derives the next datagram; `None` if no datagram of the server was collected.
fn derive_datagram(fault: DatagramFault, real: &[Vec<u8>], n: usize, random: &mut Random) -> Option<Vec<u8>> {
    if let DatagramFault::Garbage(_) = fault {
        let length = random.count(0..=MAX_DATAGRAM_BYTES);
        return Some(random.bytes(length));
    }
    let mut datagram = real.get(n % real.len().max(1))?.clone();
    match fault {
        DatagramFault::Cut(_) => datagram.truncate(n % datagram.len().max(1)),
        DatagramFault::Flipped(_) => {
            let at = random.count(0..=datagram.len().checked_sub(1)?);
            datagram[at] ^= 1 << random.within(0..=7);
        }
        DatagramFault::Garbage(_) | DatagramFault::Replayed(_) => {}
    }
    Some(datagram)
}
