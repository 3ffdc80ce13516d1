//! One link of the scripted processor: parses commands, and applies the scripted faults to them.

use super::{Current, Shared, TICK, WRITE_TIMEOUT};
use crate::drill::faults::plan::MAX_BODY_BYTES;
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;

/// Maximum bytes per read.
const READ_BYTES: usize = 16 * 1024;
/// Maximum length of a command line, in bytes.
const MAX_LINE_BYTES: usize = 1_024;
/// Maximum length of a dependency's reply that a run receives, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Maximum bytes of an invalid command shown in a failure.
const SHOWN_BYTES: usize = 100;

/// Reads commands until the link closes.
pub fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
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
    let mut chunk = vec![0; READ_BYTES];
    let mut greeted = false;
    let mut bytes_before_cut: Option<usize> = None;
    while !shared.stopping.load(Ordering::SeqCst) {
        if shared.state().script.holds_reads {
            thread::sleep(TICK);
            continue;
        }
        if greeted && bytes_before_cut.is_none() {
            bytes_before_cut = shared.state().script.take_command_cut().map(|cut| cut.after);
        }
        let read_limit =
            bytes_before_cut.map_or(READ_BYTES, |bytes_before_cut| bytes_before_cut.min(READ_BYTES));
        if read_limit == 0 {
            return;
        }
        match stream.read(&mut chunk[..read_limit]) {
            Ok(0) => return,
            Ok(len) => {
                bytes.extend_from_slice(&chunk[..len]);
                bytes_before_cut = bytes_before_cut.map(|bytes_before_cut| bytes_before_cut - len);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
        loop {
            match command(&bytes) {
                Ok(None) => break,
                Ok(Some((len, command))) => {
                    // The greeting is held back as scripted; the server sends nothing between hello and the greeting.
                    if matches!(command, Command::Hello(_)) && !wait_for_greeting(shared) {
                        return;
                    }
                    greeted = true;
                    carry_out(command, stream, number, shared);
                    bytes.drain(..len);
                }
                Err(why) => {
                    let shown = bytes[..bytes.len().min(SHOWN_BYTES)].escape_ascii();
                    shared.record.unattributed(format!("{why} on link {number} to the processor: '{shown}'"));
                    return;
                }
            }
        }
    }
}

/// Waits while the script holds the greeting; false if the processor stops meanwhile.
fn wait_for_greeting(shared: &Shared) -> bool {
    while shared.state().script.holds_greeting {
        if shared.stopping.load(Ordering::SeqCst) {
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

/// Parses the first command; returns its length, or `None` if it is incomplete.
fn command(bytes: &[u8]) -> Result<Option<(usize, Command)>, &'static str> {
    let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") else {
        return if bytes.len() > MAX_LINE_BYTES { Err("a line without an end") } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| "a line that is not UTF-8")?;
    let words: Vec<&str> = text.split(' ').collect();
    match words[..] {
        ["hello", n] => Ok(Some((end + 2, Command::Hello(n.parse().map_err(|_| "a hello with no number")?)))),
        ["usage", tag] if !tag.is_empty() => Ok(Some((end + 2, Command::Usage(tag.to_string())))),
        ["interrupt", id] => Ok(Some((end + 2, Command::Interrupt(id.to_string())))),
        ["begin", id, class, length] => {
            let body = body(&bytes[end + 2..], length, MAX_BODY_BYTES)?;
            let command = |body| Command::Begin(id.to_string(), class.to_string(), body);
            Ok(body.map(|(len, body)| (end + 2 + len, command(body))))
        }
        ["answer", id, length] => {
            let body = body(&bytes[end + 2..], length, MAX_REPLY_BYTES)?;
            Ok(body.map(|(len, body)| (end + 2 + len, Command::Answer(id.to_string(), body))))
        }
        _ => Err("bytes that are not a command"),
    }
}

/// Parses the body after a line that ends in its length; returns the bytes it takes with its line end, or `None` if
/// it is incomplete.
fn body(bytes: &[u8], length: &str, max_length: usize) -> Result<Option<(usize, Vec<u8>)>, &'static str> {
    let length: usize = length.parse().map_err(|_| "a command without a length")?;
    if length > max_length {
        return Err("a body over the limit");
    }
    let Some(body) = bytes.get(..length + 2) else { return Ok(None) };
    let body = body.strip_suffix(b"\r\n").ok_or("a body without a line end")?;
    Ok(Some((length + 2, body.to_vec())))
}

fn carry_out(command: Command, stream: &TcpStream, number: u64, shared: &Shared) {
    let mut state = shared.state();
    match command {
        Command::Hello(after) => {
            // The hello may arrive while the processor is going away.
            let Some(stream) = stream.try_clone().ok().filter(|_| !state.refuses_connections()) else {
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
            missed.iter().for_each(|text| state.write_notice(text));
        }
        Command::Usage(tag) => {
            let on = state.running.len();
            state.send(format!("used {tag} {:.3} {on} 0.0100 4\r\n", on as f64 / 16.0).as_bytes());
        }
        Command::Begin(rid, class, body) => state.begin_run(&rid, &class, body, number, &shared.record),
        Command::Answer(rid, reply) => state.resume_run(&rid, reply, &shared.record),
        Command::Interrupt(rid) => state.interrupt(&rid),
    }
}
