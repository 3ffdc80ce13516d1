//! Clients at full speed beside the others: some break the protocol, some keep to it.

use super::caller::{Callers, Request};
use super::client::encode_thrift;
use super::{Drill, MAX_OPEN_REQUESTS};
use crate::thrift;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Messages per write of a client that does not count what is open.
const BATCH: usize = 64;
/// Longest wait of a client for answers before it looks whether the drill is over.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// What a client sends at full speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum FloodKind {
    /// Valid requests, at most 32 of them open.
    Requests,
    /// Valid requests, however many are open.
    ExcessRequests,
    /// Requests of classes that don't exist, under ever new names.
    UnknownClasses,
    /// Cancellations of nothing.
    Cancels,
    /// Health checks.
    HealthChecks,
    /// Messages that don't exist.
    UnknownMessages,
}

/// Sends messages until `is_over`, on ever new connections where the server ends one.
pub(super) fn play(drill: &Drill, kind: FloodKind, server: SocketAddr, number: usize, is_over: &AtomicBool) {
    let mut flood = Flood { callers: Callers::new(drill, 1_000 + number), kind, sequence: 0 };
    while !is_over.load(Ordering::Relaxed) {
        if let Ok(stream) = TcpStream::connect_timeout(&server, CONNECT_TIMEOUT) {
            flood.play(stream, is_over);
        }
    }
}

struct Flood {
    callers: Callers,
    kind: FloodKind,
    sequence: i32,
}

impl Flood {
    fn play(&mut self, mut stream: TcpStream, is_over: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        self.sequence = 0;
        let (mut open, mut bytes, mut chunk) = (0, Vec::new(), vec![0; 64 * 1024]);
        while !is_over.load(Ordering::Relaxed) {
            let count = if self.kind == FloodKind::Requests { MAX_OPEN_REQUESTS - open } else { BATCH };
            let frames: Vec<u8> = (0..count).flat_map(|_| self.frame()).collect();
            open += count;
            match stream.write_all(&frames) {
                Ok(()) => {}
                Err(_) => return,
            }
            let timeout =
                if self.kind == FloodKind::Requests { READ_TIMEOUT } else { Duration::from_micros(1) };
            let _ = stream.set_read_timeout(Some(timeout));
            match stream.read(&mut chunk) {
                Ok(0) => return,
                Ok(length) => bytes.extend_from_slice(&chunk[..length]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
            while let Ok(Some(length)) = thrift::frame(&bytes) {
                bytes.drain(..length);
                open = open.saturating_sub(1);
            }
        }
    }

    fn frame(&mut self) -> Vec<u8> {
        self.sequence += 1;
        match self.kind {
            FloodKind::Requests | FloodKind::ExcessRequests => {
                encode_thrift(self.sequence, &self.callers.draw_now())
            }
            FloodKind::UnknownClasses => {
                let request = self.callers.draw_now();
                let class = format!("class-{}", request.rid);
                encode_thrift(self.sequence, &Request { class: class.into(), ..request })
            }
            FloodKind::Cancels => thrift::cancel(self.sequence, self.sequence - 1),
            FloodKind::HealthChecks => thrift::health(self.sequence),
            FloodKind::UnknownMessages => thrift::oneway(self.sequence, "unknown"),
        }
    }
}
