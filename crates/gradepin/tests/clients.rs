//! What clients do to each other: ids that come again, numbers that come twice, and bytes that come in an odd way.

mod scenario;
use scenario::play;
use scenario::sockets::Sockets;
use scenario::virtually::Virtually;

#[test]
fn a_repeat_whose_rid_comes_again_is_answered_from_the_run_of_its_own_token() {
    // Guards against a result that no run made for a request: a repeat that waited for a run left, its rid came again
    // for another token, and it was answered from the run that the one before had waited for.
    play(
        &mut Virtually::up(),
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
fn a_repeat_whose_rid_runs_for_another_token_by_now_keeps_its_run() {
    // Guards against a run taken out of the books because a repeat with its rid once waited for what never ran here.
    play(
        &mut Virtually::sharing(),
        "send a call 1 rid=1 method=claim token=t body=one
         expect claim 1 t
         send b call 1 rid=2 method=claim token=t body=one again=1
         send b cancel 1
         send c call 1 rid=2 method=claim token=u body=two
         expect claim 2 u
         send claims 2 ours
         expect processor begin 2
         send claims 1 unsure
         expect a 1 refused
         expect no c 1
         send processor complete 1 2 OK TWO
         expect c 1 served TWO",
    );
}

#[test]
fn what_makes_no_sense_under_an_open_number_takes_nobodys_answer() {
    // Guards against two answers under one number: the client would take the first for that of its open request.
    for twice in ["call 1 method=novelty", "health 1", "call 1 method=novelty rid=7"] {
        play(
            &mut Virtually::up(),
            &format!(
                "send a call 1 rid=1
                 expect processor begin 1
                 send a {twice}
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
fn half_a_message_that_is_late_ends_its_connection_once_what_is_open_is_answered() {
    play(
        &mut Virtually::up(),
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
fn a_request_whose_run_was_stopped_leaves_the_books_with_its_answer() {
    // Guards against books that fill: a run that the processor stopped while its caller still waited, as it does at a call
    // of one that it takes for over, was answered and kept for good, with its body, until all that came was refused.
    let mut stage = Virtually::with(|config| config["limits"]["memory_mb"] = 16.into());
    play(&mut stage, "send processor hi WARM 0");
    let body = "x".repeat(2000);
    // Those of 1,500 take more than a quarter of the memory.
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
         expect processor begin 1500
         send admin stats
         expect admin 200 server_open_requests 1",
    );
}

/// Guards against a server that counts on descriptors that the system denies: idle clients took all that there were, and
/// from then on nobody was accepted, no fallen link made again and no operator answered.
#[test]
fn idle_clients_fill_the_descriptors_where_the_system_allows_fewer_than_the_settings() {
    for allowed in [160, 96] {
        idle_clients_fill(allowed);
    }
}

fn idle_clients_fill(allowed: usize) {
    let (name, limits) = (format!("allowed-{allowed}"), format!("ulimit -n {allowed}"));
    let mut stage = Sockets::limited(&name, 1024, &limits, |_| ());
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
    assert!(stage.descriptors() <= allowed);
}

/// Guards against newcomers whom the system turns away while the server has no turn on its core: a crowd that comes back in
/// one instant has connections, as many as there are places, and their requests are answered with its next turn.
#[test]
fn a_crowd_that_comes_in_one_instant_is_taken_whole() {
    for (name, descriptors) in [("crowd", 1024), ("crowd-of-few", 128)] {
        crowd(name, descriptors);
    }
}

fn crowd(name: &str, descriptors: usize) {
    const CROWD: usize = 600;
    let mut stage = Sockets::with(name, descriptors, |_| ());
    play(&mut stage, "expect processor hello 0\nexpect control Ready\nfreeze");
    let address = stage.address().parse().expect("an address");
    let mut crowd: Vec<_> = (0..CROWD)
        .map(|n| {
            let mut peer = std::net::TcpStream::connect_timeout(&address, std::time::Duration::from_secs(20))
                .unwrap_or_else(|e| panic!("of {CROWD} the {n}th: {e}"));
            std::io::Write::write_all(&mut peer, &scenario::thrift::health(1)).expect("taken");
            peer
        })
        .collect();
    play(&mut stage, "thaw");
    for (n, peer) in crowd.iter_mut().enumerate() {
        // One in a spare place is asked to drain first.
        let first = sockets::event(peer);
        let answer = if first == "draining" { sockets::event(peer) } else { first };
        assert_eq!(answer, "1 good", "the {n}th of {CROWD}, {descriptors} descriptors");
    }
}

/// Guards against a server that does with the few descriptors that the system gives at first, where it may have what its
/// settings say.
#[test]
fn a_soft_limit_is_raised_to_what_the_settings_say() {
    let mut stage = Sockets::limited("soft-limit", 512, "ulimit -Sn 128", |_| ());
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    for n in 0..200 {
        play(&mut stage, &format!("send i{n} health 1\nexpect i{n} 1 good"));
    }
    assert!(stage.descriptors() > 200);
}

mod sockets {
    //! Bytes that are all there before the program reads the first of them: an inherited listener takes them.

    use super::scenario::{config, thrift};
    use rustix::io::{FdFlags, fcntl_setfd};
    use rustix::net::{SendFlags, send};
    use std::io::{Read, Write};
    use std::net::{SocketAddr, TcpListener, TcpStream};
    use std::os::fd::AsRawFd;
    use std::process::{Child, Command, Stdio};
    use std::time::{Duration, Instant};

    /// Far above what anything takes.
    const PATIENCE: Duration = Duration::from_secs(20);

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

    /// Waits until so many bytes of a peer wait to be read, as /proc/net/tcp tells.
    fn arrived(peer: &TcpStream, bytes: usize) {
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
            assert!(start.elapsed() < PATIENCE, "{} of {bytes} bytes came", unread());
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// The next answer.
    pub fn event(peer: &mut TcpStream) -> String {
        peer.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        let mut prefix = [0; 4];
        peer.read_exact(&mut prefix).expect("a frame");
        let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
        peer.read_exact(&mut frame).expect("a whole frame");
        thrift::event(&frame)
    }

    #[test]
    fn requests_behind_a_read_that_is_cut_short_are_answered() {
        // Guards against a connection that hangs with requests unread. The system cuts a read short at an urgent mark. That
        // comes behind more than one read takes, so that what is told of a new connection's bytes is told by then.
        const BEFORE: i32 = 400;
        let [listener, processor] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let mut peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("it is taken");
        let before: Vec<u8> = (1..=BEFORE).flat_map(thrift::health).collect();
        peer.write_all(&before).expect("taken");
        send(&peer, b"!", SendFlags::OOB).expect("taken");
        let last = thrift::health(BEFORE + 1);
        peer.write_all(&last).expect("taken");
        arrived(&peer, before.len() + 1 + last.len());
        let _program = start(&listener, &processor, "cut-short");
        for seq in 1..=BEFORE + 1 {
            assert_eq!(event(&mut peer), format!("{seq} bad"));
        }
    }
}
