//! Minimal forwarder as a baseline for benchmarks of the daemon. It has a blocking thread and a processor link per
//! connection, and no request table, admission control or limits.

use crate::thrift;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Largest accepted result, in bytes; benchmarks use smaller ones.
const MAX_RESULT_BYTES: usize = 64 * 1024;

/// Accepts one connection per processor, connects each to its own processor, and returns when all connections
/// have ended.
pub fn forward(listen: SocketAddr, processors: &[SocketAddr]) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    let mut threads = Vec::new();
    for &processor in processors {
        let (client, _) = listener.accept()?;
        let small = thread::Builder::new().name("forward".into()).stack_size(64 * 1024);
        threads.push(small.spawn(move || connection(client, processor))?);
    }
    for thread in threads {
        thread.join().map_err(|_| io::Error::other("a connection's thread has panicked"))??;
    }
    Ok(())
}

fn connection(mut client: TcpStream, processor: SocketAddr) -> io::Result<()> {
    client.set_nodelay(true)?;
    let mut link = TcpStream::connect(processor)?;
    link.set_nodelay(true)?;
    link.write_all(b"hello 0\r\n")?;
    let mut notices = BufReader::new(link.try_clone()?);
    let (mut line, mut body) = (String::new(), Vec::new());
    notices.read_line(&mut line)?;
    let (mut bytes, mut chunk, mut out) = (Vec::new(), [0; 8192], Vec::new());
    let mut open: Vec<(String, i32)> = Vec::new();
    loop {
        let len = client.read(&mut chunk)?;
        if len == 0 {
            return Ok(());
        }
        bytes.extend_from_slice(&chunk[..len]);
        out.clear();
        while let Some(len) = thrift::frame(&bytes).map_err(io::Error::other)? {
            let call = thrift::read_call(&bytes[4..len]).map_err(io::Error::other)?;
            write!(out, "begin {} {} {}\r\n", call.rid, call.method, call.body.len())?;
            out.extend(&call.body);
            out.extend(b"\r\n");
            open.push((call.rid, call.seq));
            bytes.drain(..len);
        }
        link.write_all(&out)?;
        while !open.is_empty() {
            line.clear();
            if notices.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let mut words = line.trim_end().split(' ').skip(2);
            let (Some(id), Some(len)) = (words.next(), words.nth(2)) else { continue };
            let len: usize = len.parse().map_err(io::Error::other)?;
            if len > MAX_RESULT_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            body.resize(len + 2, 0);
            notices.read_exact(&mut body)?;
            if let Some(index) = open.iter().position(|(rid, _)| rid == id) {
                let (_, seq) = open.swap_remove(index);
                client.write_all(&thrift::served(seq, &body[..len]))?;
            }
        }
    }
}
