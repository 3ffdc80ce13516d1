//! One link of the scripted processor: bytes to commands, with what the script does to them.

use super::{Current, Shared, TICK, WRITE_PATIENCE};
use crate::drill::faults::plan::LARGEST_BODY;
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;

/// Bytes that are read at a time.
const CHUNK: usize = 16 * 1024;
/// The longest line before a body.
const LONGEST_LINE: usize = 1_024;
/// The longest reply of the dependency that a run is given.
const LARGEST_REPLY: usize = 64 * 1024;
/// Of bytes that are no command, in a failure.
const SHOWN: usize = 100;

/// Reads commands until the link ends.
pub fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_PATIENCE));
    let _ = stream.set_read_timeout(Some(TICK * 5));
    let number = {
        let mut state = shared.state();
        state.links += 1;
        state.links
    };
    read(&stream, number, shared);
    let _ = stream.shutdown(Shutdown::Both);
    let mut state = shared.state();
    state.current.take_if(|current| current.number == number);
}

fn read(mut stream: &TcpStream, number: u64, shared: &Shared) {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; CHUNK];
    let mut greeted = false;
    let mut left: Option<usize> = None;
    while !shared.ends.load(Ordering::SeqCst) {
        if shared.state().script.holds_reads {
            thread::sleep(TICK);
            continue;
        }
        if greeted && left.is_none() {
            left = shared.state().script.take_command_cut().map(|cut| cut.after);
        }
        let room = left.map_or(CHUNK, |left| left.min(CHUNK));
        if room == 0 {
            return;
        }
        match stream.read(&mut chunk[..room]) {
            Ok(0) => return,
            Ok(len) => {
                bytes.extend_from_slice(&chunk[..len]);
                left = left.map(|left| left - len);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
        loop {
            match command(&bytes) {
                Ok(None) => break,
                Ok(Some((len, command))) => {
                    // Held until the script says so; only hello is read before it, since nothing else may come.
                    if matches!(command, Command::Hello(_)) && !wait_for_hi(shared) {
                        return;
                    }
                    greeted = true;
                    carry_out(command, stream, number, shared);
                    bytes.drain(..len);
                }
                Err(why) => {
                    let shown = bytes[..bytes.len().min(SHOWN)].escape_ascii();
                    shared.record.foreign(format!("{why} on link {number} to the processor: '{shown}'"));
                    return;
                }
            }
        }
    }
}

/// False if the processor ends meanwhile.
fn wait_for_hi(shared: &Shared) -> bool {
    while shared.state().script.holds_hi {
        if shared.ends.load(Ordering::SeqCst) {
            return false;
        }
        thread::sleep(TICK);
    }
    true
}

#[derive(Debug)]
enum Command {
    Hello(u64),
    Usage(String),
    Begin(String, String, Vec<u8>),
    Answer(String, Vec<u8>),
    Interrupt(String),
}

/// The first command, if it is whole, and its length.
fn command(bytes: &[u8]) -> Result<Option<(usize, Command)>, &'static str> {
    let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") else {
        return if bytes.len() > LONGEST_LINE { Err("a line with no end") } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| "a line that is no text")?;
    let words: Vec<&str> = text.split(' ').collect();
    match words[..] {
        ["hello", n] => Ok(Some((end + 2, Command::Hello(n.parse().map_err(|_| "a hello with no number")?)))),
        ["usage", tag] if !tag.is_empty() => Ok(Some((end + 2, Command::Usage(tag.to_string())))),
        ["interrupt", id] => Ok(Some((end + 2, Command::Interrupt(id.to_string())))),
        ["begin", id, class, length] => {
            let body = body(&bytes[end + 2..], length, LARGEST_BODY)?;
            let command = |body| Command::Begin(id.to_string(), class.to_string(), body);
            Ok(body.map(|(len, body)| (end + 2 + len, command(body))))
        }
        ["answer", id, length] => {
            let body = body(&bytes[end + 2..], length, LARGEST_REPLY)?;
            Ok(body.map(|(len, body)| (end + 2 + len, Command::Answer(id.to_string(), body))))
        }
        _ => Err("what is no command"),
    }
}

/// The body behind a line that ends in its length, if it is whole, and how many bytes it takes with its end.
fn body(bytes: &[u8], length: &str, most: usize) -> Result<Option<(usize, Vec<u8>)>, &'static str> {
    let length: usize = length.parse().map_err(|_| "a command with no length")?;
    if length > most {
        return Err("a body over the limit");
    }
    let Some(body) = bytes.get(..length + 2) else { return Ok(None) };
    let body = body.strip_suffix(b"\r\n").ok_or("a body with no end of its line")?;
    Ok(Some((length + 2, body.to_vec())))
}

fn carry_out(command: Command, stream: &TcpStream, number: u64, shared: &Shared) {
    let mut state = shared.state();
    match command {
        Command::Hello(after) => {
            // It came in the instant of the processor's end.
            let Some(stream) = stream.try_clone().ok().filter(|_| !state.is_away()) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            let before = state.current.replace(Current { number, stream });
            if let Some(old) = before.filter(|old| old.number != number) {
                let _ = old.stream.shutdown(Shutdown::Both);
            }
            let age = state.started.elapsed().as_secs_f64() * 1e3;
            state.send(format!("hi WARM {age:.3}\r\n").as_bytes());
            let after = if state.script.repeats { 0 } else { after };
            let missed: Vec<Vec<u8>> =
                state.notices.iter().filter(|(n, _)| *n > after).map(|(_, text)| text.clone()).collect();
            missed.iter().for_each(|text| state.tell(text));
        }
        Command::Usage(tag) => {
            let on = state.running.len();
            state.send(format!("used {tag} {:.3} {on} 0.0100 4\r\n", on as f64 / 16.0).as_bytes());
        }
        Command::Begin(rid, class, body) => state.begin(&rid, &class, body, number, &shared.record),
        Command::Answer(rid, reply) => state.answered(&rid, reply, &shared.record),
        Command::Interrupt(rid) => state.interrupt(&rid),
    }
}
