//! Upgrades: two processes share an inherited listener, and the old one hands over at SIGTERM.

mod scenario;
use scenario::play;
use scenario::virtual_stage::VirtualStage;

#[test]
fn the_old_process_stops_reporting_at_sigterm_and_exits_after_its_last_answer() {
    // Guards the server list and the clients during an upgrade: the old process reports no NotReady beside the Ready
    // of the new one, accepts nothing after SIGTERM, answers everything it has read, and exits as soon as the proxies
    // have closed.
    play(
        &mut VirtualStage::sharing_listener(),
        "send a call 1 rid=1 body=tile
         expect processor begin 1
         expect control Ready
         send server TERM
         expect stop accepting
         expect a draining
         wait 1000
         expect no control
         send processor complete 1 1 OK out
         expect a 1 served out
         expect no exit
         close a
         expect exit",
    );
}

#[test]
fn idle_connections_delay_the_exit_of_the_old_process_only_briefly() {
    play(
        &mut VirtualStage::sharing_listener(),
        "open a
         send b health 1
         expect b 1 good
         send server TERM
         expect a draining
         expect b draining
         wait 200
         expect no exit
         wait 200
         expect exit",
    );
}

#[test]
fn the_old_process_exits_before_sigkill_while_a_run_is_in_progress() {
    // The stop time is 2 s after SIGTERM in this configuration; the process must exit before it.
    play(
        &mut VirtualStage::sharing_listener(),
        "send a call 1 rid=1
         expect processor begin 1
         send server TERM
         wait 1800
         expect no exit
         wait 60
         expect exit",
    );
}

#[test]
fn a_keyed_run_waits_for_its_claim_and_reports_its_end() {
    // Guards idempotency across an upgrade: no keyed run begins before it is claimed, the claim of a run that never
    // started is released, and reads do not wait for claims.
    play(
        &mut VirtualStage::sharing_runs(),
        "send a call 1 rid=1
         expect processor begin 1
         send a call 2 rid=2 method=claim token=t body=save
         expect claim 2 t
         expect no processor begin 2
         send claims 2 ours
         expect processor begin 2 claim save
         send processor complete 1 2 OK saved
         expect a 2 served saved
         expect claim-ended t served
         send a call 3 rid=3 method=claim token=u
         expect claim 3 u
         send claims 3 ours
         expect processor begin 3
         send processor complete 2 3 ERROR
         expect a 3 failed
         expect claim-ended u failed
         send a call 4 rid=4 method=claim token=v
         expect claim 4 v
         send claims 4 ours
         expect processor begin 4
         send processor complete 3 4 MOOT
         expect claim-ended v void
         send a call 5 rid=5 method=claim token=w
         expect claim 5 w
         send claims 5 unsure
         expect a 5 refused
         expect no processor begin",
    );
}

#[test]
fn a_run_of_the_other_process_answers_attempts_in_this_process() {
    // Guards against a second run in the other process of an upgrade: every attempt is answered from the run that
    // took place, its admission slots are free again, and an attempt whose caller gave up earlier is answered only
    // once.
    play(
        &mut VirtualStage::sharing_runs(),
        "send a call 1 rid=1 method=claim token=t
         expect claim 1 t
         send b call 1 rid=2 method=claim token=t
         expect no claim 2
         send claims 1 served theirs
         expect a 1 served theirs
         expect b 1 served theirs
         send b call 2 rid=3 method=claim token=t
         expect b 2 served theirs
         send a call 2 rid=4 method=claim token=u budget=300
         expect claim 4 u
         wait 400
         expect a 2 failed
         send claims 4 failed
         expect no a 2
         expect no processor begin
         send a call 3 rid=5
         send a call 4 rid=6
         send a call 5 rid=7
         send a call 6 rid=8
         expect processor begin 5
         expect processor begin 6
         expect processor begin 7
         expect processor begin 8",
    );
}

mod sockets {
    //! Two real processes on one inherited listener, with client proxies that send requests throughout.

    use super::scenario::{call, config, thrift};
    use rustix::io::{FdFlags, fcntl_setfd};
    use std::io::{BufRead, BufReader, Read, Write};
    use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;
    use std::path::{Path, PathBuf};
    use std::process::{Child, Command, Stdio};
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
    use std::sync::{Arc, Mutex};
    use std::thread;
    use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

    /// Far above what each step takes; no test passes or fails by speed.
    const TIMEOUT: Duration = Duration::from_secs(20);
    /// Duration of a run at the stand-in processor, so that requests are in flight at SIGTERM.
    const RUN_DURATION: Duration = Duration::from_millis(150);

    /// Number of keyed runs begun at the stand-in processors of all tests in this file; only one test has any.
    static KEYED_RUNS: AtomicU64 = AtomicU64::new(0);

    fn unix_ms() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
    }

    /// Starts a processor that greets, answers gauge queries and ends every run after [`RUN_DURATION`] with its body
    /// as the result.
    fn processor() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                thread::spawn(move || serve_link(link));
            }
        });
        address
    }

    fn serve_link(link: TcpStream) {
        let writes = Arc::new(Mutex::new(link.try_clone().expect("a clone")));
        let notices = Arc::new(AtomicU64::new(0));
        let mut reads = BufReader::new(link);
        let mut line = String::new();
        while reads.read_line(&mut line).is_ok_and(|len| len > 0) {
            let words: Vec<String> = line.split_whitespace().map(String::from).collect();
            let write = |text: String| drop(writes.lock().expect("whole").write_all(text.as_bytes()));
            match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
                ["hello", _] => write("hi WARM 0\r\n".into()),
                ["usage", tag] => write(format!("used {tag} 0.5 2 0.1 9\r\n")),
                ["begin", id, class, len] => {
                    KEYED_RUNS.fetch_add(u64::from(class == "claim"), Ordering::SeqCst);
                    let mut body = vec![0; len.parse::<usize>().expect("a length") + 2];
                    reads.read_exact(&mut body).expect("a body");
                    body.truncate(body.len() - 2);
                    let (writes, notices, id) = (Arc::clone(&writes), Arc::clone(&notices), id.to_string());
                    thread::spawn(move || {
                        thread::sleep(RUN_DURATION);
                        // Numbered under the lock, so that notices are sent in the order of their numbers.
                        let mut writes = writes.lock().expect("whole");
                        let n = notices.fetch_add(1, Ordering::SeqCst) + 1;
                        let head = format!("complete {n} {id} OK 150 {}\r\n", body.len());
                        let _ = writes.write_all(&[head.as_bytes(), &body, b"\r\n"].concat());
                    });
                }
                _ => {}
            }
            line.clear();
        }
    }

    /// A process that is killed on drop.
    struct Process(Child);

    impl Drop for Process {
        fn drop(&mut self) {
            let _ = self.0.kill();
            let _ = self.0.wait();
        }
    }

    /// Starts a process on the inherited listener, with its own processor and admin endpoint.
    fn start(listener: &TcpListener, admin: SocketAddr, name: &str, folder: &Path) -> (Process, PathBuf) {
        let control = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let control_address = control.local_addr().expect("an address").to_string();
        thread::spawn(move || while control.recv(&mut [0; 64]).is_ok() {});
        let listen = listener.local_addr().expect("an address").to_string();
        let mut config = config(&listen, &processor().to_string(), &control_address);
        config["admin_addr"] = serde_json::json!(admin.to_string());
        config["stop_ms"] = serde_json::json!(3000);
        let file = std::env::temp_dir().join(format!("gradepin-{}-{name}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("a file for the configuration");
        // The platform passes descriptor 3; here it is the listener's own descriptor, which the program inherits.
        let fd = listener.as_raw_fd().to_string();
        let mut child = Command::new(env!("CARGO_BIN_EXE_gradepin"));
        child.arg("serve").env("GW_CONFIG", &file).env("GW_ACCEPT_FD", fd).stderr(Stdio::null());
        (Process(child.env("TMPDIR", folder).spawn().expect("the program starts")), file)
    }

    fn ready(admin: SocketAddr) -> bool {
        let Ok(mut socket) = TcpStream::connect(admin) else { return false };
        let _ = socket.write_all(b"GET /healthcheck HTTP/1.1\r\n\r\n");
        let mut response = String::new();
        let _ = socket.read_to_string(&mut response);
        response.starts_with("HTTP/1.1 200 ")
    }

    fn wait_ready(admin: SocketAddr) {
        let start = Instant::now();
        while !ready(admin) {
            assert!(start.elapsed() < TIMEOUT, "{admin} never became ready");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Counters of a client proxy: requests sent, answers received, and answers still owed when a connection ended.
    #[derive(Default, Debug)]
    struct ProxyCounts {
        sent: u64,
        answered: u64,
        lost: u64,
        connections: u64,
    }

    /// Sends requests on a connection until the server asks it to drain, then waits for the answers and opens another
    /// connection.
    fn proxy(address: SocketAddr, first_rid: u64, stop: &AtomicBool) -> ProxyCounts {
        let mut counts = ProxyCounts::default();
        let mut rid = first_rid;
        while !stop.load(Ordering::SeqCst) {
            let mut socket = TcpStream::connect(address).expect("the test keeps the listener open");
            counts.connections += 1;
            let (mut open, mut seq, mut draining) = (0_u64, 0, false);
            socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
            let mut frames = Vec::new();
            loop {
                if !draining && !stop.load(Ordering::SeqCst) && open < 4 {
                    (seq, rid) = (seq + 1, rid + 1);
                    let words = [seq.to_string(), format!("rid={rid}"), "body=tile".to_string()];
                    let words: Vec<&str> = words.iter().map(String::as_str).collect();
                    if socket.write_all(&call(&words, unix_ms())).is_err() {
                        counts.lost += open;
                        break;
                    }
                    (open, counts.sent) = (open + 1, counts.sent + 1);
                }
                let mut chunk = [0; 4096];
                match socket.read(&mut chunk) {
                    Ok(0) => {
                        counts.lost += open;
                        break;
                    }
                    Ok(n) => frames.extend_from_slice(&chunk[..n]),
                    Err(e)
                        if matches!(
                            e.kind(),
                            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                        ) => {}
                    Err(_) => {
                        counts.lost += open;
                        break;
                    }
                }
                while frames.len() >= 4 {
                    let len = u32::from_be_bytes(frames[..4].try_into().expect("four bytes")) as usize;
                    let Some(frame) = frames.get(4..4 + len) else { break };
                    let event = thrift::event(frame);
                    frames.drain(..4 + len);
                    if event == "draining" {
                        draining = true;
                    } else {
                        (open, counts.answered) = (open - 1, counts.answered + 1);
                    }
                }
                if (draining || stop.load(Ordering::SeqCst)) && open == 0 {
                    break;
                }
            }
        }
        counts
    }

    /// A listener that child processes inherit, two addresses for admin endpoints, and a folder shared by both
    /// processes.
    fn platform(name: &str) -> (TcpListener, [SocketAddr; 2], PathBuf) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        fcntl_setfd(&listener, FdFlags::empty()).expect("inheritable");
        let admin_address =
            || TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
        let folder = std::env::temp_dir().join(format!("gradepin-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        (listener, [admin_address(), admin_address()], folder)
    }

    fn terminate(process: &Process) {
        let term = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {}", process.0.id())).status();
        assert!(term.expect("a shell").success());
    }

    /// Sends one request on an otherwise idle connection and returns the answer.
    fn request(socket: &mut TcpStream, seq: u64, words: &str) -> String {
        let words = format!("{seq} {words}");
        socket.write_all(&call(&words.split(' ').collect::<Vec<_>>(), unix_ms())).expect("it takes bytes");
        loop {
            let mut len = [0; 4];
            socket.read_exact(&mut len).expect("a frame");
            let mut frame = vec![0; u32::from_be_bytes(len) as usize];
            socket.read_exact(&mut frame).expect("a whole frame");
            let event = thrift::event(&frame);
            if event != "draining" {
                return event;
            }
        }
    }

    #[test]
    fn a_keyed_request_that_ran_in_the_old_process_is_answered_by_the_new_one_without_a_run() {
        // Guards idempotency across an upgrade, where both processes count as one server. The stand-in processors
        // count the runs they begin, which would reveal a second run.
        let (listener, admin_addresses, folder) = platform("shared");
        let address = listener.local_addr().expect("an address");
        let (old, old_file) = start(&listener, admin_addresses[0], "shared-old", &folder);
        wait_ready(admin_addresses[0]);
        let connect = || {
            let socket = TcpStream::connect(address).expect("the test keeps the listener open");
            socket.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
            socket
        };
        let mut before = connect();
        assert_eq!(request(&mut before, 1, "rid=1 method=claim token=t body=mine"), "1 served mine");
        let (_new, new_file) = start(&listener, admin_addresses[1], "shared-new", &folder);
        wait_ready(admin_addresses[1]);
        // A request that is still running in the old process when the new one receives its retry.
        let running = call(&["2", "rid=2", "method=claim", "token=u", "body=yours"], unix_ms());
        before.write_all(&running).expect("it takes bytes");
        terminate(&old);
        let start = Instant::now();
        while ready(admin_addresses[0]) {
            assert!(start.elapsed() < TIMEOUT, "the old process ignores SIGTERM");
            thread::sleep(Duration::from_millis(5));
        }
        const CONFLICT: &str = "3 invalid the token came before with another body or class";
        let mut after = connect();
        let runs = KEYED_RUNS.load(Ordering::SeqCst);
        assert_eq!(request(&mut after, 1, "rid=3 method=claim token=u body=yours"), "1 served yours");
        assert_eq!(request(&mut after, 2, "rid=4 method=claim token=t body=mine"), "2 served mine");
        assert_eq!(request(&mut after, 3, "rid=5 method=claim token=t body=other"), CONFLICT);
        assert_eq!(KEYED_RUNS.load(Ordering::SeqCst), runs, "a request ran a second time");
        assert_eq!(request(&mut after, 4, "rid=6 method=claim token=new body=new"), "4 served new");
        assert_eq!(KEYED_RUNS.load(Ordering::SeqCst), runs + 1);
        let _ = std::fs::remove_dir_all(folder);
        let _ = std::fs::remove_file(old_file);
        let _ = std::fs::remove_file(new_file);
    }

    #[test]
    fn an_upgrade_on_an_inherited_listener_loses_no_request_in_flight() {
        // Guards the hand-over: the new process reports ready once it can serve, the old one stops accepting at
        // SIGTERM, answers everything it has read and exits before SIGKILL; no request goes unanswered.
        let (listener, admin_addresses, folder) = platform("upgrade");
        let address = listener.local_addr().expect("an address");
        let (mut old, old_file) = start(&listener, admin_addresses[0], "upgrade-old", &folder);
        wait_ready(admin_addresses[0]);
        let stop = Arc::new(AtomicBool::new(false));
        let proxies: Vec<_> = (0..4)
            .map(|n| {
                let stop = Arc::clone(&stop);
                thread::spawn(move || proxy(address, n * 1_000_000, &stop))
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        let (_new, new_file) = start(&listener, admin_addresses[1], "upgrade-new", &folder);
        wait_ready(admin_addresses[1]);
        terminate(&old);
        let terminated = Instant::now();
        let ended = loop {
            if let Some(status) = old.0.try_wait().expect("a status") {
                break (terminated.elapsed(), status);
            }
            assert!(terminated.elapsed() < TIMEOUT, "the old process never exited");
            thread::sleep(Duration::from_millis(10));
        };
        thread::sleep(Duration::from_millis(500));
        stop.store(true, Ordering::SeqCst);
        let counts: Vec<ProxyCounts> =
            proxies.into_iter().map(|proxy| proxy.join().expect("a proxy")).collect();
        let _ = std::fs::remove_file(old_file);
        let _ = std::fs::remove_file(new_file);
        let _ = std::fs::remove_dir_all(folder);
        assert!(ended.1.success(), "the old process exited with {:?}", ended.1);
        // SIGKILL would follow 3 s after SIGTERM in this configuration.
        assert!(ended.0 < Duration::from_secs(3), "the old process took {:?}", ended.0);
        let (sent, answered, lost) =
            counts.iter().fold((0, 0, 0), |(s, a, l), p| (s + p.sent, a + p.answered, l + p.lost));
        assert!(
            counts.iter().all(|proxy| proxy.connections >= 2),
            "some proxy did not reconnect: {counts:?}"
        );
        assert_eq!((lost, answered), (0, sent), "{counts:?}");
    }
}
