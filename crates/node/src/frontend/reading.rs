//! One turn of a connection: bytes become messages, messages become inputs, or are thrown away.
//! Not here: whose turn it is, and what is late ([`super::reader`]).

use super::conn::Stage;
use super::pace::{Pace, Worth};
use super::{Conn, Cut, Cutter, MOST_UNREAD, Patience, Shared};
use gradepin_core::buffer_pool::Buffer;
use gradepin_core::messages::{ConnectionId, Input};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What is read and thrown away of a peer whose bytes are no messages, or whose connection is being closed. More stays
/// unread, and then holds its sender back.
const MOST_DISCARDED: usize = 256 * 1024;
/// Of it in one turn.
const DISCARDED_AT_ONCE: usize = 8;
/// Reads in one turn. The second mostly hears that nothing is left, which a read that didn't fill its room doesn't say.
const READS_A_TURN: usize = 2;

/// What becomes of the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Intake {
    /// They are cut into messages, and these are passed on.
    Open,
    /// They are thrown away: what came before made no sense, or came too late. What is owed is answered yet.
    Discarded,
    /// There are none any more: the peer has shut its half. What is owed is answered yet.
    Ended,
}

/// A connection being read.
pub(super) struct Reading {
    pub(super) socket: Arc<Conn>,
    /// What came of frames that are not whole, or not passed on.
    pub(super) buffer: Option<Buffer>,
    pub(super) cutter: Box<dyn Cutter>,
    pub(super) patience: Patience,
    pub(super) intake: Intake,
    /// Whether anything came.
    pub(super) begun: bool,
    /// Both halves are shut, as the system tells.
    pub(super) gone: bool,
    /// When the frame begun, or the first one, must be whole; none between later frames.
    pub(super) until: Option<Instant>,
    /// Whether the reducer was told that it is not; it is closed in an instant in which nothing is unread.
    pub(super) late: bool,
    pub(super) pace: Pace,
    /// Whether its turn is to come: there may be something to read.
    pub(super) ready: bool,
    /// Whether that waits until its peer has read some of its answers.
    pub(super) held: bool,
    pub(super) discarded: usize,
}

/// What a turn ended with.
pub(super) enum Turn {
    /// Nothing is left to read.
    Rest,
    /// There may be more.
    More,
    /// It has sent too much of what is turned away.
    Pause(Duration),
    /// Its peer leaves too many answers unread.
    Held,
    /// Nothing more of it is passed on; what is owed is answered yet. Why, if the peer did wrong.
    Ended(Option<String>),
    /// It can't be used any more.
    Gone(Option<io::Error>),
}

impl Reading {
    /// Passes on the frames that are here, reads a little, and passes on what came.
    pub(super) fn turn(&mut self, conn: ConnectionId, shared: &Shared) -> io::Result<Turn> {
        match self.socket.turn() {
            Stage::Dead => return Ok(Turn::Gone(None)),
            Stage::Open if self.intake == Intake::Open => {}
            // What comes after the last message can only be thrown away.
            _ => return self.discard(shared),
        }
        let mut buffer = self.buffer.take().unwrap_or_else(|| shared.pool.take());
        if !buffer.is_empty()
            && let Some(turn) = self.pass_on(conn, &mut buffer, shared)
        {
            self.buffer = Some(buffer);
            return Ok(turn);
        }
        for _ in 0..READS_A_TURN {
            match recv(&self.socket.socket, buffer.space(), RecvFlags::DONTWAIT) {
                // Half a frame that nothing follows is no message: what was whole before it is owed all the same.
                Ok((0, _)) => return Ok(Turn::Ended(None)),
                Ok((len, _)) => {
                    buffer.filled(len);
                    if let Some(turn) = self.pass_on(conn, &mut buffer, shared) {
                        self.buffer = Some(buffer);
                        return Ok(turn);
                    }
                }
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK) => return Ok(self.rest(buffer)),
                Err(e) => return Err(e.into()),
            }
        }
        self.buffer = Some(buffer);
        Ok(Turn::More)
    }

    /// Nothing is left in the socket, as the system says. Guards against a read that was cut short, at an urgent mark for
    /// one, and taken for the last: of what is left behind it nothing is told anew, since events tell changes alone.
    fn rest(&mut self, buffer: Buffer) -> Turn {
        self.buffer = (!buffer.is_empty()).then_some(buffer);
        if self.in_message() {
            self.socket.rest_in_message();
        } else {
            self.socket.rest();
        }
        Turn::Rest
    }

    /// Whether a part of a message is here.
    pub(super) fn in_message(&self) -> bool {
        self.buffer.is_some() || self.cutter.begun()
    }

    /// Whether it should have sent a whole message by now, and was not told as late since.
    pub(super) fn is_late(&self, now: Instant) -> bool {
        let over = self.until.is_some_and(|until| until <= now);
        self.intake == Intake::Open && !self.ready && !self.late && over
    }

    /// Reads and throws away, up to the peer's end.
    pub(super) fn discard(&mut self, shared: &Shared) -> io::Result<Turn> {
        self.buffer = None;
        let mut buffer = shared.pool.take();
        for _ in 0..DISCARDED_AT_ONCE {
            if self.intake == Intake::Ended || self.discarded >= MOST_DISCARDED {
                break;
            }
            match recv(&self.socket.socket, buffer.space(), RecvFlags::DONTWAIT) {
                Ok((0, _)) => self.intake = Intake::Ended,
                Ok((len, _)) => self.discarded += len,
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK) => return Ok(if self.gone { Turn::Gone(None) } else { Turn::Rest }),
                Err(e) => return Err(e.into()),
            }
        }
        let ended = self.intake == Intake::Ended;
        if self.gone || (ended && self.socket.lingers_since().is_some()) {
            return Ok(Turn::Gone(None));
        }
        // A peer that goes on past the bound is left waiting, until all is written and its time is up.
        Ok(if ended || self.discarded >= MOST_DISCARDED { Turn::Rest } else { Turn::More })
    }

    /// Passes on the whole messages of a buffer; a turn that ends with them, if one does.
    fn pass_on(&mut self, conn: ConnectionId, buffer: &mut Buffer, shared: &Shared) -> Option<Turn> {
        let (mut used, mut whole, mut ends) = (0, false, None);
        while ends.is_none() && used < buffer.len() {
            if self.socket.unread() >= MOST_UNREAD {
                return self.passed(buffer, used, whole, Some(Turn::Held));
            }
            let (len, cut) = match self.cutter.cut(&buffer[used..], &shared.pool) {
                Ok(Some(cut)) => cut,
                Ok(None) => break,
                Err(wrong) => return Some(Turn::Ended(Some(wrong.0.into()))),
            };
            used += len;
            let mut spent = 1;
            let input = match cut {
                Cut::Call(seq, call) => {
                    Some(Input::Request { connection: conn, sequence: seq, request: call })
                }
                Cut::Health(seq) => Some(Input::HealthCheck { connection: conn, sequence: seq }),
                Cut::Invalid(seq, misuse, why) => {
                    Some(Input::InvalidRequest { connection: conn, sequence: seq, error: misuse, text: why })
                }
                Cut::Cancel(seq) => Some(Input::Cancel { connection: conn, sequence: seq }),
                Cut::Nothing => continue,
                Cut::Nonsense => {
                    spent += Worth::Nonsense.cost();
                    None
                }
            };
            whole = true;
            if let Some(input) = input {
                // In the instant of a close it is thrown away, and its sender sees the end instead of an answer.
                if !self.socket.pass() {
                    return Some(Turn::More);
                }
                if shared.inputs.send(input).is_err() {
                    return Some(Turn::Gone(None));
                }
            }
            spent += self.socket.spent.swap(0, Ordering::Relaxed);
            ends = self.pace.spend(spent, Instant::now()).map(Turn::Pause);
        }
        self.passed(buffer, used, whole, ends)
    }

    /// So many bytes of the buffer were used, and whether a message ended among them.
    fn passed(&mut self, buffer: &mut Buffer, used: usize, whole: bool, turn: Option<Turn>) -> Option<Turn> {
        let came = !buffer.is_empty();
        buffer.consume(used);
        let (now, rest) = (Instant::now(), !buffer.is_empty() || self.cutter.begun());
        if came && !self.begun {
            self.begun = true;
            if self.patience.first_byte_only {
                self.until = Some(now + self.patience.whole);
            }
        }
        if whole {
            self.late = false;
            self.until = rest.then(|| now + self.patience.whole);
        } else if rest && self.until.is_none() {
            self.until = Some(now + self.patience.whole);
        }
        turn
    }
}
