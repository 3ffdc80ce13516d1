//! Startup of the process: signals before it listens, addresses that another process still holds, and an unusable
//! folder of keyed runs.

mod program;
mod scenario;

use program::Program;
use rustix::io::{FdFlags, fcntl_setfd};
use scenario::socket_stage::{SocketStage, unique_address};
use scenario::{Stage, play};
use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::os::unix::net::UnixListener;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a process that is killed by SIGHUP or SIGUSR1 while it reads its files for the first time, and
/// against losing such a signal. A named pipe as the configuration file delays the start.
#[test]
fn a_signal_during_the_first_read_of_the_configuration_is_handled_later() {
    for (signal, log_text) in [("HUP", "reloaded: "), ("USR1", "taken out of service"), ("TERM", "serving")] {
        let mut program = Program::prepare(&format!("early-{signal}"), |config| config["stop_ms"] = 0.into());
        let (path, text) = (program.config(), std::fs::read(program.config()).expect("a file"));
        std::fs::remove_file(&path).expect("it goes");
        assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
        program.start(&[]);
        let (sender, opened) = channel();
        let pipe = path.clone();
        // Opening for writing succeeds as soon as the program opens the pipe for reading.
        std::thread::spawn(move || sender.send(std::fs::OpenOptions::new().write(true).open(pipe)));
        let mut pipe = opened.recv_timeout(TIMEOUT).expect("the program reads it").expect("a pipe");
        program.signal(signal);
        std::fs::remove_file(&path).expect("it goes");
        std::fs::write(&path, &text).expect("a file in its place");
        // The write fails if the program has exited.
        let _ = pipe.write_all(&text);
        drop(pipe);
        program.wait_for_line(log_text);
        if signal == "TERM" {
            assert_eq!(program.wait_for_exit(), Some(0), "SIGTERM is obeyed once the server serves");
        }
    }
}

/// Guards against a start that fails because the previous process is still exiting: its admin endpoint, fleet address
/// and Unix sockets stay in use until its exit, longer than its client address. The new process waits for each and
/// obeys SIGTERM meanwhile.
#[test]
fn a_start_waits_for_each_held_address() {
    for terminates in [false, true] {
        let held = TcpListener::bind("127.0.0.1:0").expect("a port");
        let admin_address = held.local_addr().expect("an address").to_string();
        let program = Program::prepare(&format!("door-{terminates}"), |config| {
            config["admin_addr"] = admin_address.into()
        });
        check_waiting(program, &[], held, terminates);

        let held = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let fleet = held.local_addr().expect("an address");
        let program = Program::prepare(&format!("fleet-{terminates}"), |_| ());
        let keys = program.folder().join("fleet.keys");
        std::fs::write(&keys, format!("{}\n", "5a".repeat(32))).expect("a file");
        let (settings, keys) = (program.folder().join("own.kdl"), keys.display());
        let text = format!(
            "cluster {{\n listen \"{fleet}\"\n zone \"z\"\n seed \"{fleet}\"\n key-file \"{keys}\"\n}}\n"
        );
        std::fs::write(&settings, text).expect("a file");
        check_waiting(program, &["--settings", settings.to_str().expect("a path")], held, terminates);

        let program = Program::prepare(&format!("scgi-{terminates}"), |_| ());
        let (settings, path) = (program.folder().join("own.kdl"), program.folder().join("scgi.sock"));
        let held = UnixListener::bind(&path).expect("a path");
        let text = format!(
            "scgi {{\n unix \"{}\"\n route \"/a\" method=\"GET\" class=\"read\"\n}}\n",
            path.display()
        );
        std::fs::write(&settings, text).expect("a file");
        check_waiting(program, &["--settings", settings.to_str().expect("a path")], held, terminates);
    }
}

/// Starts a program while one of its addresses is held: it logs that, then serves, or exits after SIGTERM.
fn check_waiting<T>(mut program: Program, arguments: &[&str], held: T, terminates: bool) {
    program.start(arguments);
    program.wait_for_line("another process holds the address");
    if terminates {
        program.signal("TERM");
        program.wait_for_line("received SIGTERM during start-up");
        assert_eq!(program.wait_for_exit(), Some(0));
        drop(held);
    } else {
        drop(held);
        program.wait_for_line("serving");
    }
}

/// Guards against a start that fails because the folder of keyed runs is unusable: all other requests are served,
/// keyed ones fail, as the other process may have run them, never run unclaimed, and are served once the folder is usable.
#[test]
fn a_start_with_an_unusable_folder_serves_everything_but_keyed_requests() {
    let folder = std::env::temp_dir().join(format!("gradepin-{}-unusable", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let blocking_file = folder.join("gradepin.n1.keys");
    std::fs::write(&blocking_file, "a file in the place of the folder").expect("a file");
    let listener = TcpListener::bind(unique_address()).expect("an address of its own");
    fcntl_setfd(&listener, FdFlags::empty()).expect("inheritable");
    let mut stage = SocketStage::with_inherited_listener("unusable", &listener, &folder);
    play(
        &mut stage,
        "expect processor hello 0
         expect control Ready
         send a call 1 rid=1
         expect processor begin 1
         send processor complete 1 1 OK out
         expect a 1 served out
         send a call 2 rid=2 method=claim token=t
         expect a 2 failed
         expect no processor begin",
    );
    std::fs::remove_file(&blocking_file).expect("it goes");
    let served = (3..1_000).any(|n| {
        play(&mut stage, &format!("send a call {n} rid={n} method=claim token=t{n}"));
        let event = stage.take_any_event(&[&format!("a {n}"), "processor begin"]);
        if event.starts_with("processor") {
            return true;
        }
        assert!(event.starts_with(&format!("a {n} failed")), "{event}");
        stage.wait(20);
        false
    });
    drop(stage);
    let _ = std::fs::remove_dir_all(folder);
    assert!(served, "1000 requests failed");
}

/// Guards against a process that dies when its log reaches the file size limit, and against one that panics instead
/// of exiting with status 1 when nobody reads the message about an invalid configuration.
#[test]
fn an_unwritable_log_does_not_end_the_process() {
    let mut program = Program::prepare("log", |_| ());
    let log = program.folder().join("log");
    // The shell counts in blocks of at least 512 bytes.
    program.start_through_shell("ulimit -f 2", std::fs::File::create(&log).expect("a file").into());
    let start = Instant::now();
    let reload_invalid = |program: &mut Program| {
        std::fs::write(program.config(), "{").expect("a file");
        program.signal("HUP");
        std::thread::sleep(Duration::from_millis(5));
    };
    let mut size = 0;
    // The first signals may arrive before the program handles any; then signal until a log line no longer fits.
    while !std::fs::read_to_string(&log).expect("a file").contains("serving") {
        assert!(start.elapsed() < TIMEOUT, "the program never serves");
        std::thread::sleep(Duration::from_millis(5));
    }
    for _ in 0..400 {
        reload_invalid(&mut program);
        let now = std::fs::metadata(&log).expect("a file").len();
        if now >= 1024 && now == std::mem::replace(&mut size, now) {
            break;
        }
    }
    reload_invalid(&mut program);
    program.signal("TERM");
    assert_eq!(program.wait_for_exit(), Some(0));

    let mut program = Program::prepare("unread", |_| ());
    std::fs::write(program.config(), "{").expect("a file");
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    program.start_through_shell("true", writer.into());
    assert_eq!(program.wait_for_exit(), Some(1));
}
