//! Isolation of clients from each other: reused request ids, duplicate sequence numbers, unusual byte streams, and
//! exhausted descriptors.

mod scenario;
use scenario::play;
use scenario::socket_stage::SocketStage;
use scenario::virtual_stage::VirtualStage;

#[test]
fn a_retry_under_a_reused_rid_is_answered_from_the_run_of_its_own_token() {
    // Guards against serving a result of another run: a retry that waited for a run was cancelled, its rid was reused
    // with another token, and the new request was answered from the run that the earlier one had waited for.
    play(
        &mut VirtualStage::ready(),
        "send a call 1 rid=1 method=claim token=t body=one
         expect processor begin 1
         send b call 1 rid=2 method=claim token=t body=one again=1
         send b cancel 1
         send c call 1 rid=3 method=claim token=u body=two
         expect processor begin 3
         send d call 1 rid=2 method=claim token=u body=two again=1
         send processor complete 1 1 OK ONE
         expect a 1 served ONE
         expect no d 1
         send processor complete 2 3 OK TWO
         expect c 1 served TWO
         expect d 1 served TWO",
    );
}

#[test]
fn a_rid_reused_with_another_token_keeps_its_run() {
    // Guards against dropping an active run because an earlier retry with its rid had waited for a run that never
    // began here.
    play(
        &mut VirtualStage::sharing_runs(),
        "send a call 1 rid=1 method=claim token=t body=one
         expect claim 1 t
         send b call 1 rid=2 method=claim token=t body=one again=1
         send b cancel 1
         send c call 1 rid=2 method=claim token=u body=two
         expect claim 2 u
         send claims 2 ours
         expect processor begin 2
         send claims 1 full
         expect a 1 refused
         expect no c 1
         send processor complete 1 2 OK TWO
         expect c 1 served TWO",
    );
}

#[test]
fn an_invalid_message_under_an_open_sequence_number_takes_no_answer() {
    // Guards against two answers under one sequence number: the client would take the first one as the answer to its
    // open request.
    for duplicate in ["call 1 method=novelty", "health 1", "call 1 method=novelty rid=7"] {
        play(
            &mut VirtualStage::ready(),
            &format!(
                "send a call 1 rid=1
                 expect processor begin 1
                 send a {duplicate}
                 expect no a 1
                 expect a draining
                 send processor complete 1 1 OK out
                 expect a 1 served out
                 expect no a 1
                 expect a closed"
            ),
        );
    }
}

#[test]
fn a_late_partial_message_closes_its_connection_after_all_answers() {
    play(
        &mut VirtualStage::ready(),
        "send a call 1 rid=1
         expect processor begin 1
         late a
         expect no a closed
         send processor complete 1 1 OK out
         expect a 1 served out
         expect a closed
         send b call 1 rid=2
         expect processor begin 2
         late b
         send b call 2 rid=3
         expect processor begin 3
         send processor complete 2 2 OK two
         send processor complete 3 3 OK three
         expect b 1 served two
         expect b 2 served three
         expect no b closed
         open c
         late c
         expect c closed",
    );
}

#[test]
fn a_request_whose_run_was_stopped_is_forgotten_with_its_answer() {
    // Guards against a growing request table: a run that the processor stopped while its caller still waited, as it
    // does at a call of a run it considers over, was answered but kept with its body until every request was
    // rejected.
    let mut stage = VirtualStage::with(|config| config["limits"]["memory_mb"] = 16.into());
    play(&mut stage, "send processor hi WARM 0");
    let body = "x".repeat(2000);
    // The bodies of 1,500 requests take more than a quarter of the memory.
    for n in 1..=1500 {
        play(
            &mut stage,
            &format!(
                "send a call {n} rid={n} mem=0.5 body={body}
                 expect processor begin {n}
                 send processor complete {n} {n} STOPPED
                 expect a {n} failed"
            ),
        );
    }
    play(
        &mut stage,
        "send a call 2001 rid=1500
         expect a 2001 failed why=outcome unknown:
         send a call 2002 rid=2002
         expect processor begin 2002
         send admin stats
         expect admin 200 server_open_requests 1",
    );
}

/// Guards against a server that relies on more descriptors than the system allows: idle clients took all of them, and
/// from then on no client was accepted, no broken link restored and no operator answered.
#[test]
fn idle_clients_exhaust_descriptors_when_the_system_limit_is_below_the_settings() {
    for allowed in [160, 96] {
        check_idle_clients_exhaust(allowed);
    }
}

fn check_idle_clients_exhaust(allowed: usize) {
    let (name, limits) = (format!("allowed-{allowed}"), format!("ulimit -n {allowed}"));
    let mut stage = SocketStage::with_limits(&name, 1024, &limits, |_| ());
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    for n in 0..200 {
        play(&mut stage, &format!("send i{n} health 1\nexpect i{n} 1 good"));
    }
    play(
        &mut stage,
        "close processor
         expect processor hello 0
         send admin health
         expect admin 200",
    );
    assert!(stage.descriptor_count() <= allowed);
}

/// Guards against the system rejecting new connections while the server process has no CPU time: a crowd that
/// reconnects at one instant gets connections, as many as there are slots, and their requests are answered once the
/// server runs again.
#[test]
fn a_crowd_that_connects_at_one_instant_is_served_completely() {
    for (name, descriptors) in [("crowd", 1024), ("crowd-of-few", 128)] {
        check_crowd(name, descriptors);
    }
}

fn check_crowd(name: &str, descriptors: usize) {
    const CROWD: usize = 600;
    let mut stage = SocketStage::with(name, descriptors, |_| ());
    play(&mut stage, "expect processor hello 0\nexpect control Ready\nfreeze");
    let address = stage.address().parse().expect("an address");
    let mut crowd: Vec<_> = (0..CROWD)
        .map(|n| {
            let mut peer = std::net::TcpStream::connect_timeout(&address, std::time::Duration::from_secs(20))
                .unwrap_or_else(|e| panic!("connection {n} of {CROWD}: {e}"));
            std::io::Write::write_all(&mut peer, &scenario::thrift::health(1)).expect("taken");
            peer
        })
        .collect();
    play(&mut stage, "thaw");
    for (n, peer) in crowd.iter_mut().enumerate() {
        // A connection in a spare slot is asked to drain first.
        let first = sockets::read_event(peer);
        let answer = if first == "draining" { sockets::read_event(peer) } else { first };
        assert_eq!(answer, "1 good", "connection {n} of {CROWD}, {descriptors} descriptors");
    }
}

/// Guards against a server that keeps the low soft limit on descriptors although the hard limit allows what its
/// settings say.
#[test]
fn the_soft_descriptor_limit_is_raised_to_the_settings() {
    let mut stage = SocketStage::with_limits("soft-limit", 512, "ulimit -Sn 128", |_| ());
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    for n in 0..200 {
        play(&mut stage, &format!("send i{n} health 1\nexpect i{n} 1 good"));
    }
    assert!(stage.descriptor_count() > 200);
}

mod sockets {
    //! Bytes that have all arrived before the program reads the first of them, through an inherited listener.

    use super::scenario::{config, thrift};
    use rustix::io::{FdFlags, fcntl_setfd};
    use rustix::net::{SendFlags, send};
    use std::io::{Read, Write};
    use std::net::{SocketAddr, TcpListener, TcpStream};
    use std::os::fd::AsRawFd;
    use std::process::{Child, Command, Stdio};
    use std::time::{Duration, Instant};

    /// Far above what any step takes.
    const TIMEOUT: Duration = Duration::from_secs(20);

    struct Process(Child);

    impl Drop for Process {
        fn drop(&mut self) {
            let _ = self.0.kill();
            let _ = self.0.wait();
        }
    }

    /// Starts the program on the listener, with a processor that never greets.
    fn start(listener: &TcpListener, processor: &TcpListener, name: &str) -> Process {
        let listen = listener.local_addr().expect("an address").to_string();
        let processor = processor.local_addr().expect("an address").to_string();
        let file = std::env::temp_dir().join(format!("gradepin-{}-{name}.json", std::process::id()));
        std::fs::write(&file, config(&listen, &processor, "127.0.0.1:9").to_string()).expect("a file");
        fcntl_setfd(listener, FdFlags::empty()).expect("inheritable");
        let mut program = Command::new(env!("CARGO_BIN_EXE_gradepin"));
        program.arg("serve").env("GW_CONFIG", &file).env("GW_ACCEPT_FD", listener.as_raw_fd().to_string());
        Process(program.stderr(Stdio::null()).spawn().expect("the program starts"))
    }

    /// Waits until `bytes` bytes of a peer are unread at the server, according to /proc/net/tcp.
    fn wait_until_unread(peer: &TcpStream, bytes: usize) {
        let word = |address: SocketAddr| format!(":{:04X}", address.port());
        let server = word(peer.peer_addr().expect("an address"));
        let client = word(peer.local_addr().expect("an address"));
        let unread = || {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
            let mut lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
            let line = lines.find(|words| words[1].ends_with(&server) && words[2].ends_with(&client));
            let queues = line.map(|words| words[4].to_string()).unwrap_or_default();
            queues.split_once(':').map_or(0, |(_, unread)| usize::from_str_radix(unread, 16).expect("hex"))
        };
        let start = Instant::now();
        while unread() < bytes {
            assert!(start.elapsed() < TIMEOUT, "{} of {bytes} bytes arrived", unread());
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Reads the next answer.
    pub fn read_event(peer: &mut TcpStream) -> String {
        peer.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        let mut prefix = [0; 4];
        peer.read_exact(&mut prefix).expect("a frame");
        let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
        peer.read_exact(&mut frame).expect("a whole frame");
        thrift::event(&frame)
    }

    #[test]
    fn requests_behind_a_read_that_is_cut_short_are_answered() {
        // Guards against a connection that hangs with unread requests: the system cuts a read short at an urgent
        // mark. The mark lies beyond the size of one read, so that the event for the new connection's bytes is
        // consumed before it.
        const BEFORE: i32 = 400;
        let [listener, processor] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let mut peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("it is taken");
        let before: Vec<u8> = (1..=BEFORE).flat_map(thrift::health).collect();
        peer.write_all(&before).expect("taken");
        send(&peer, b"!", SendFlags::OOB).expect("taken");
        let last = thrift::health(BEFORE + 1);
        peer.write_all(&last).expect("taken");
        wait_until_unread(&peer, before.len() + 1 + last.len());
        let _program = start(&listener, &processor, "cut-short");
        for seq in 1..=BEFORE + 1 {
            assert_eq!(read_event(&mut peer), format!("{seq} bad"));
        }
    }
}
