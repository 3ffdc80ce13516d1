//! A proxy between a server and its processor that breaks the link: resets, stalls and trickles, drawn from a seed.
//!
//! One thread accepts links and ends them when their time is up; two threads copy the bytes of each link. Wherever a link is
//! broken, bytes already read are lost with it, as in a network.

use crate::drill::faults::random::Random;
use rustix::net::sockopt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between checks whether a link is to be broken, and between pieces of a trickle.
const TICK: Duration = Duration::from_millis(10);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that a trickling link passes on in a tick, in each direction.
const TRICKLE_BYTES: usize = 64;
/// Mean time between two breaks of the link.
const MEAN_LINK_LIFE_MS: u64 = 1_150;
/// Shortest and longest stall before a stalled link is reset.
const STALL_MS: [u64; 2] = [400, 1_300];
/// Time in which new links are reset at once.
const ABSENCE: Duration = Duration::from_millis(500);
const STACK_BYTES: usize = 128 * 1024;

/// What happens to the link again and again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    Whole,
    /// It is reset.
    Reset,
    /// It passes nothing on for a while, and is reset then.
    Stall,
    /// It passes on few bytes at a time until it is reset.
    Trickle,
    /// It is reset, and new ones are for a while.
    Absent,
    /// One of the others, drawn for each link.
    Mixed,
}

/// What a link does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    Whole,
    Stalled,
    Trickling,
    Ended,
}

struct Shared {
    fault: Mutex<LinkFault>,
    stopping: AtomicBool,
}

/// A running proxy; it stops when this is dropped.
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Starts a proxy on a loopback address that forwards links to the processor at `to`.
    ///
    /// # Errors
    /// If no address can be bound or no thread started.
    pub fn start(to: SocketAddr, fault: LinkFault, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { fault: Mutex::new(fault), stopping: AtomicBool::new(false) });
        let acceptor = Acceptor {
            listener,
            to,
            shared: Arc::clone(&shared),
            random: Random::new(seed, 31),
            links: Vec::new(),
        };
        let thread = thread::Builder::new().name("fault-proxy".into()).stack_size(STACK_BYTES);
        thread.spawn(move || acceptor.run())?;
        Ok(Self { address, shared })
    }

    /// Address for the server's links.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to the links that are accepted from now on; the present ones end soon.
    pub fn set_fault(&self, fault: LinkFault) {
        *lock(&self.shared.fault) = fault;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A link and what is planned for it.
struct Link {
    server: TcpStream,
    processor: TcpStream,
    flow: Arc<Mutex<Flow>>,
    /// The fault under which it was accepted.
    set: LinkFault,
    fault: LinkFault,
    /// When it stalls; it is reset at `ends_at`.
    stalls_at: Option<Instant>,
    ends_at: Option<Instant>,
}

impl Link {
    /// Resets both sides; what is under way is lost.
    fn reset(&self) {
        *lock(&self.flow) = Flow::Ended;
        for side in [&self.server, &self.processor] {
            let _ = sockopt::set_socket_linger(side, Some(Duration::ZERO));
            let _ = side.shutdown(Shutdown::Both);
        }
    }
}

struct Acceptor {
    listener: TcpListener,
    to: SocketAddr,
    shared: Arc<Shared>,
    random: Random,
    links: Vec<Link>,
}

impl Acceptor {
    fn run(mut self) {
        let mut absent_until: Option<Instant> = None;
        while !self.shared.stopping.load(Ordering::SeqCst) {
            let now = Instant::now();
            if self.break_due_links(now) {
                absent_until = Some(now + ABSENCE);
            }
            while let Ok((server, _)) = self.listener.accept() {
                if absent_until.is_some_and(|until| now < until) {
                    let _ = sockopt::set_socket_linger(&server, Some(Duration::ZERO));
                } else if let Ok(link) = self.open(server, now) {
                    self.links.push(link);
                }
            }
            thread::sleep(TICK);
        }
        self.links.iter().for_each(Link::reset);
    }

    fn open(&mut self, server: TcpStream, now: Instant) -> io::Result<Link> {
        let processor = TcpStream::connect_timeout(&self.to, CONNECT_TIMEOUT)?;
        for side in [&server, &processor] {
            side.set_nonblocking(false)?;
            side.set_nodelay(true)?;
            side.set_read_timeout(Some(TICK))?;
        }
        let set = *lock(&self.shared.fault);
        let drawn = [LinkFault::Reset, LinkFault::Stall, LinkFault::Trickle, LinkFault::Absent];
        let fault = if set == LinkFault::Mixed { self.random.one_of(&drawn) } else { set };
        let life =
            Duration::from_millis(self.random.within(MEAN_LINK_LIFE_MS / 2..=MEAN_LINK_LIFE_MS * 3 / 2));
        let stall = Duration::from_millis(self.random.one_of(&STALL_MS));
        let (stalls_at, ends_at) = match fault {
            LinkFault::Whole => (None, None),
            LinkFault::Stall => (Some(now + life), Some(now + life + stall)),
            _ => (None, Some(now + life)),
        };
        let flow = if fault == LinkFault::Trickle { Flow::Trickling } else { Flow::Whole };
        let flow = Arc::new(Mutex::new(flow));
        for (from, to) in [(&server, &processor), (&processor, &server)] {
            let (from, to, flow) = (from.try_clone()?, to.try_clone()?, Arc::clone(&flow));
            let thread = thread::Builder::new().name("fault-proxy-copy".into()).stack_size(STACK_BYTES);
            thread.spawn(move || copy(from, to, &flow))?;
        }
        Ok(Link { server, processor, flow, set, fault, stalls_at, ends_at })
    }

    /// Stalls and resets the links whose time has come, and those that were accepted under another fault. Returns whether the
    /// processor is absent for a while now.
    fn break_due_links(&mut self, now: Instant) -> bool {
        let set = *lock(&self.shared.fault);
        let mut is_absent = false;
        self.links.retain_mut(|link| {
            if link.stalls_at.take_if(|at| *at <= now).is_some() {
                *lock(&link.flow) = Flow::Stalled;
            }
            let is_over =
                link.ends_at.is_some_and(|at| at <= now) || (link.set != set && set != LinkFault::Whole);
            if is_over {
                link.reset();
                is_absent |= link.fault == LinkFault::Absent;
            }
            !is_over
        });
        is_absent
    }
}

/// Copies bytes in one direction until either side ends.
fn copy(mut from: TcpStream, mut to: TcpStream, flow: &Mutex<Flow>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let flow = *lock(flow);
        match flow {
            Flow::Ended => break,
            Flow::Stalled => {
                thread::sleep(TICK);
                continue;
            }
            Flow::Whole | Flow::Trickling => {}
        }
        let space = if flow == Flow::Trickling { TRICKLE_BYTES } else { BUFFER_BYTES };
        match from.read(&mut buffer[..space]) {
            Ok(length @ 1..) => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Ok(0) | Err(_) => break,
        }
        if flow == Flow::Trickling {
            thread::sleep(TICK);
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
