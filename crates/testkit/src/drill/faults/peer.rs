//! A peer of one server that only takes what the server sends it, and sends back datagrams that are garbage, cut, changed or
//! replayed. It has no key, so nothing that it sends may be believed.

use super::plan::DatagramFault;
use super::random::Random;
use crate::fleet::KEY;
use std::fs;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// The largest datagram that is taken or sent.
const LARGEST: usize = 2_048;
/// How long real datagrams are waited for, of which the others are made.
const COLLECTS: Duration = Duration::from_millis(400);
/// Between datagrams: they are to be read, not dropped by the system.
const BETWEEN: Duration = Duration::from_micros(300);

/// A stand-in for a peer.
pub struct Peer {
    socket: UdpSocket,
    server: SocketAddr,
}

impl Peer {
    /// Knows where a server takes datagrams.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(BETWEEN))?;
        Ok(Self { socket, server })
    }

    /// Writes the server's own settings, in which this peer is one that it joins by.
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

    /// Sends so many datagrams of a kind.
    pub fn play(&self, fault: DatagramFault, random: &mut Random) {
        let real = self.collect();
        let count = match fault {
            DatagramFault::Garbage(count)
            | DatagramFault::Cut(count)
            | DatagramFault::Flipped(count)
            | DatagramFault::Replayed(count) => count,
        };
        for n in 0..count {
            let Some(datagram) = made(fault, &real, n, random) else { return };
            // A server that has ended says so here, and the oracle sees it.
            let _ = self.socket.send_to(&datagram, self.server);
            thread::sleep(BETWEEN);
        }
    }

    fn collect(&self) -> Vec<Vec<u8>> {
        let (start, mut real, mut datagram) = (Instant::now(), Vec::new(), [0; LARGEST]);
        while start.elapsed() < COLLECTS {
            if let Ok(len) = self.socket.recv(&mut datagram) {
                real.push(datagram[..len].to_vec());
            }
        }
        real
    }
}

/// The next datagram; none where there is no real one to make it of.
fn made(fault: DatagramFault, real: &[Vec<u8>], n: usize, random: &mut Random) -> Option<Vec<u8>> {
    if let DatagramFault::Garbage(_) = fault {
        let length = random.count(0..=LARGEST);
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
