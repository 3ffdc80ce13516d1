//! Scenarios that cross real loopback sockets: the real program between peers that the test plays.

mod scenario;
use scenario::sockets::Sockets;
use scenario::{config, play};

#[test]
fn a_request_crosses_the_sockets_in_pieces_and_in_company() {
    let mut stage = Sockets::up("serves");
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
fn what_is_no_message_closes_its_own_connection_alone() {
    // A frame of 1 MiB, another protocol, a message cut short, and a map said to hold 2^31 - 1 entries.
    play(
        &mut Sockets::up("malformed"),
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
fn a_fallen_or_garbled_link_is_made_again_from_the_last_notice() {
    play(
        &mut Sockets::up("link"),
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
fn a_peer_that_never_reads_delays_nobody() {
    let mut stage = Sockets::up("slow");
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
        &mut Sockets::up("sigterm"),
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
fn a_bad_configuration_ends_the_start_with_a_message() {
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
        let (code, err) = Sockets::ends_with(&text);
        assert_eq!(code, Some(1), "{text}");
        assert!(err.contains(message), "{err} should hold {message}");
    }
}

#[test]
fn sighup_reads_the_configuration_again_and_keeps_all_that_is_open() {
    // Guards against a server that ends on SIGHUP: no handler was there. Runs, connections and the number of the
    // last notice outlive the move; a file that can't be used changes nothing.
    play(
        &mut Sockets::up("sighup"),
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
fn silent_and_half_sent_connections_end_and_busy_ones_stay() {
    // Guards against places held for good by who says nothing, or begins a frame and never ends it.
    play(
        &mut Sockets::up("silent"),
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
    // Guards against a thread for each connection: a process stopped and continued for its share of a core pays for
    // every one of them each time, and 480 took all of it.
    let mut stage = Sockets::up("threads");
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    let before = stage.threads();
    for n in 0..60 {
        play(&mut stage, &format!("send c{n} health 1\nexpect c{n} 1 good"));
    }
    assert!(stage.threads() <= before, "{before} and then {}", stage.threads());
}
