//! Scenarios on loopback sockets: the real program between peers that the test simulates.

mod scenario;
use scenario::socket_stage::SocketStage;
use scenario::{config, play};

#[test]
fn requests_that_arrive_in_pieces_and_together_are_served() {
    let mut stage = SocketStage::start("serves");
    play(
        &mut stage,
        "expect processor hello 0
         expect control Ready
         send a + call 1 rid=1 body=hello
         send a + call 2 rid=2 body=more
         send a health 3
         expect processor begin 1 read hello
         expect processor begin 2 read more
         expect a 3 good
         send processor complete 1 2 OK second
         expect a 2 served second
         send processor remark 2 nothing
         send processor complete 3 1 OK first
         expect a 1 served first",
    );
}

#[test]
fn an_invalid_message_closes_only_its_own_connection() {
    // A frame of 1 MiB, another protocol, a truncated message, and a map with a stated length of 2^31 - 1 entries.
    play(
        &mut SocketStage::start("malformed"),
        "expect processor hello 0
         expect control Ready
         send a call 1 rid=1
         expect processor begin 1
         send b hex 00100000
         expect b closed
         send c hex 474554202f20485454502f312e310d0a
         expect c closed
         send d hex 000000088001000100000004
         expect d closed
         send e hex 0000001b800100010000000463616c6c000000010d00010b0b7fffffff
         expect e closed
         send f call 1 method=novelty
         expect f 1 invalid unknown method
         send processor complete 1 1 OK out
         expect a 1 served out",
    );
}

#[test]
fn a_broken_or_invalid_link_is_restored_from_the_last_notice() {
    play(
        &mut SocketStage::start("link"),
        "expect processor hello 0
         expect control Ready
         send a call 1 rid=1
         expect processor begin 1
         send processor complete 1 1 OK out
         expect a 1 served out
         close processor
         expect processor hello 1
         send a call 2 rid=2
         expect processor begin 2
         send processor what is this
         expect processor hello 1
         send processor complete 2 2 OK two
         expect a 2 served two",
    );
}

#[test]
fn a_peer_that_never_reads_delays_no_other_client() {
    let mut stage = SocketStage::start("slow");
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    let flood: Vec<u8> = (1..=2000).flat_map(scenario::thrift::health).collect();
    let address = stage.address().to_string();
    let mut slow = std::net::TcpStream::connect(address).expect("the program listens");
    std::io::Write::write_all(&mut slow, &flood).expect("the flood fits the socket buffers");
    play(
        &mut stage,
        "send a call 1 rid=1
         expect processor begin 1
         send processor complete 1 1 OK out
         expect a 1 served out",
    );
}

#[test]
fn sigterm_drains_and_does_not_end_the_program_early() {
    play(
        &mut SocketStage::start("sigterm"),
        "expect processor hello 0
         expect control Ready
         send a call 1 rid=1
         expect processor begin 1
         send server TERM
         expect a draining
         expect control NotReady
         send processor complete 1 1 OK out
         expect a 1 served out
         send b health 1
         expect b 1 bad",
    );
}

#[test]
fn an_invalid_configuration_fails_the_start_with_a_message() {
    let good = config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3").to_string();
    let cases = [
        ("{".to_string(), "expected a configuration"),
        (good.replace("127.0.0.1:1", "nowhere"), "expected a configuration"),
        (good.replace("8c1f30d27a5be964", "seed"), "hex digits as seed"),
        (good.replace("\"n_cores\":4", "\"n_cores\":0"), "n_cores above 0"),
        (
            good.replace("\"below\":\"off\"", "\"below\":\"sideways\""),
            "expected one of `shared`, `tier`, `off`",
        ),
        (
            good.replace("\"drain_grace\":1000000000", "\"drain_grace\":\"soon\""),
            "settings.rules.drain_grace: ",
        ),
        (good.replace("\"sockets\":1024", "\"sockets\":64"), "limits.sockets"),
        (good.replace("\"name\":\"n1\"", "\"name\":\"n 1\""), "printable"),
        (good.replace("\"name\":\"read\"", "\"name\":\"claim\""), "got 'claim' twice"),
        (good.replace("\"name\":\"read\"", "\"name\":\"re ad\""), "without spaces, got 're ad'"),
    ];
    for (text, message) in cases {
        let (code, err) = SocketStage::run_to_exit(&text);
        assert_eq!(code, Some(1), "{text}");
        assert!(err.contains(message), "{err} should hold {message}");
    }
}

#[test]
fn sighup_reloads_the_configuration_and_keeps_open_requests_and_connections() {
    // Guards against a server that is killed by SIGHUP for lack of a handler. Runs, connections and the number of the
    // last notice survive the move; an invalid file changes nothing.
    play(
        &mut SocketStage::start("sighup"),
        "expect processor hello 0
         expect control Ready
         send a call 1 rid=1
         expect processor begin 1
         send processor remark 1 nothing
         send server HUP moved
         expect processor2 hello 1
         expect control2 Ready
         send processor complete 2 1 OK out
         expect a 1 served out
         send server HUP broken
         send a call 2 rid=2
         expect processor2 begin 2
         send processor complete 3 2 OK two
         expect a 2 served two
         expect no processor2 hello 2",
    );
}

#[test]
fn silent_and_half_sent_connections_are_closed_and_busy_ones_stay() {
    // Guards against connection slots held forever by peers that send nothing, or begin a frame and never complete
    // it.
    play(
        &mut SocketStage::start("silent"),
        "expect processor hello 0
         expect control Ready
         send a call 1 rid=1 budget=60000
         expect processor begin 1
         send b call 1 rid=2
         send b hex 000000
         open s
         send h hex 000000
         expect s closed
         expect h closed
         expect b closed
         expect no a closed
         send processor complete 1 1 OK out
         expect a 1 served out",
    );
}

#[test]
fn connections_take_no_threads() {
    // Guards against one thread per connection: a process that is stopped and continued to enforce its CPU quota pays
    // for each thread every time, and 480 threads used up the whole quota.
    let mut stage = SocketStage::start("threads");
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    let before = stage.thread_count();
    for n in 0..60 {
        play(&mut stage, &format!("send c{n} health 1\nexpect c{n} 1 good"));
    }
    assert!(stage.thread_count() <= before, "{before} and then {}", stage.thread_count());
}
