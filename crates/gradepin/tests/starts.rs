//! Starts of the process: signals before it listens, addresses that another process still holds, and folders that can't be
//! used.

mod program;
mod scenario;

use program::Program;
use rustix::io::{FdFlags, fcntl_setfd};
use scenario::sockets::{Sockets, own_address};
use scenario::{Stage, play};
use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::os::unix::net::UnixListener;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// Guards against a process that ends by an order to read its files again, or to go out of service, because it still reads
/// them for the first time; and against an order lost so. The configuration comes through a pipe that holds the start.
#[test]
fn a_signal_while_the_configuration_is_read_ends_nothing_and_is_not_lost() {
    for (signal, told) in [("HUP", "reloaded: "), ("USR1", "taken out of service"), ("TERM", "serving")] {
        let mut program =
            Program::prepared(&format!("early-{signal}"), |config| config["stop_ms"] = 0.into());
        let (path, text) = (program.config(), std::fs::read(program.config()).expect("a file"));
        std::fs::remove_file(&path).expect("it goes");
        assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
        program.run(&[]);
        let (sender, opened) = channel();
        let pipe = path.clone();
        // Opened for writing as soon as the program reads it.
        std::thread::spawn(move || sender.send(std::fs::OpenOptions::new().write(true).open(pipe)));
        let mut pipe = opened.recv_timeout(PATIENCE).expect("the program reads it").expect("a pipe");
        program.signal(signal);
        std::fs::remove_file(&path).expect("it goes");
        std::fs::write(&path, &text).expect("a file in its place");
        // A program that is gone takes nothing.
        let _ = pipe.write_all(&text);
        drop(pipe);
        program.line(told);
        if signal == "TERM" {
            assert_eq!(program.end(), Some(0), "the notice to leave is taken once it serves");
        }
    }
}

/// Guards against a start that fails because the process before it is still on its way out: its door, its place in the fleet
/// and its paths stand until its end, after its clients' address is free. Each is waited for, and the notice to leave is
/// heard meanwhile.
#[test]
fn each_address_that_is_still_held_is_waited_for() {
    for leaves in [false, true] {
        let held = TcpListener::bind("127.0.0.1:0").expect("a port");
        let door = held.local_addr().expect("an address").to_string();
        let program =
            Program::prepared(&format!("door-{leaves}"), |config| config["admin_addr"] = door.into());
        waits(program, &[], held, leaves);

        let held = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let fleet = held.local_addr().expect("an address");
        let program = Program::prepared(&format!("fleet-{leaves}"), |_| ());
        let keys = program.folder().join("fleet.keys");
        std::fs::write(&keys, format!("{}\n", "5a".repeat(32))).expect("a file");
        let (settings, keys) = (program.folder().join("own.kdl"), keys.display());
        let text = format!(
            "cluster {{\n listen \"{fleet}\"\n zone \"z\"\n seed \"{fleet}\"\n key-file \"{keys}\"\n}}\n"
        );
        std::fs::write(&settings, text).expect("a file");
        waits(program, &["--settings", settings.to_str().expect("a path")], held, leaves);

        let program = Program::prepared(&format!("scgi-{leaves}"), |_| ());
        let (settings, path) = (program.folder().join("own.kdl"), program.folder().join("scgi.sock"));
        let held = UnixListener::bind(&path).expect("a path");
        let text = format!(
            "scgi {{\n unix \"{}\"\n route \"/a\" method=\"GET\" class=\"read\"\n}}\n",
            path.display()
        );
        std::fs::write(&settings, text).expect("a file");
        waits(program, &["--settings", settings.to_str().expect("a path")], held, leaves);
    }
}

/// Starts a program while something holds one of its addresses: it says so, then serves, or leaves where it is told to.
fn waits<T>(mut program: Program, arguments: &[&str], held: T, leaves: bool) {
    program.run(arguments);
    program.line("another process holds the address");
    if leaves {
        program.signal("TERM");
        program.line("received SIGTERM during start-up");
        assert_eq!(program.end(), Some(0));
        drop(held);
    } else {
        drop(held);
        program.line("serving");
    }
}

/// Guards against a start that fails because the folder of keyed runs can't be used: all else is served, keyed requests are
/// refused and never run unclaimed, and are served once the folder can be used.
#[test]
fn a_start_whose_folder_cannot_be_used_serves_all_but_keyed_requests() {
    let folder = std::env::temp_dir().join(format!("gradepin-{}-unusable", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let place = folder.join("gradepin.n1.keys");
    std::fs::write(&place, "a file in the place of the folder").expect("a file");
    let listener = TcpListener::bind(own_address()).expect("an address of its own");
    fcntl_setfd(&listener, FdFlags::empty()).expect("inheritable");
    let mut stage = Sockets::handed("unusable", &listener, &folder);
    play(
        &mut stage,
        "expect processor hello 0
         send a call 1 rid=1
         expect processor begin 1
         send processor complete 1 1 OK out
         expect a 1 served out
         send a call 2 rid=2 method=claim token=t
         expect a 2 refused
         expect no processor begin",
    );
    std::fs::remove_file(&place).expect("it goes");
    let served = (3..1_000).any(|n| {
        play(&mut stage, &format!("send a call {n} rid={n} method=claim token=t{n}"));
        let event = stage.take_any(&[&format!("a {n}"), "processor begin"]);
        if event.starts_with("processor") {
            return true;
        }
        assert!(event.starts_with(&format!("a {n} refused")), "{event}");
        stage.wait(20);
        false
    });
    drop(stage);
    let _ = std::fs::remove_dir_all(folder);
    assert!(served, "a thousand were refused");
}

/// Guards against a process that ends as its log reaches the limit on the size of files, and against one whose invalid
/// configuration ends in a panic, because nobody reads the message, and not in status 1.
#[test]
fn a_log_that_nobody_takes_ends_nothing() {
    let mut program = Program::prepared("log", |_| ());
    let log = program.folder().join("log");
    // The shell's blocks are of 512 bytes or more.
    program.shell("ulimit -f 2", std::fs::File::create(&log).expect("a file").into());
    let start = Instant::now();
    let refused = |program: &mut Program| {
        std::fs::write(program.config(), "{").expect("a file");
        program.signal("HUP");
        std::thread::sleep(Duration::from_millis(5));
    };
    let mut size = 0;
    // Until a line no longer finds room; the first signals may come before the program takes any.
    while !std::fs::read_to_string(&log).expect("a file").contains("serving") {
        assert!(start.elapsed() < PATIENCE, "it never serves");
        std::thread::sleep(Duration::from_millis(5));
    }
    for _ in 0..400 {
        refused(&mut program);
        let now = std::fs::metadata(&log).expect("a file").len();
        if now >= 1024 && now == std::mem::replace(&mut size, now) {
            break;
        }
    }
    refused(&mut program);
    program.signal("TERM");
    assert_eq!(program.end(), Some(0));

    let mut program = Program::prepared("unread", |_| ());
    std::fs::write(program.config(), "{").expect("a file");
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    program.shell("true", writer.into());
    assert_eq!(program.end(), Some(1));
}
