//! Lifecycles of connections and of the process on loopback sockets: closes, half-closes, resets, floods and slow
//! peers. The critical order of events is enforced by what is read or paused, never by timing.

mod scenario;
use scenario::socket_stage::SocketStage;
use scenario::{Stage, play};

/// Completes runs as they begin until these connections have received `answers` answers; returns how many were
/// served.
fn serve(stage: &mut SocketStage, conns: &[&str], answers: usize) -> usize {
    let (mut answered, mut served) = (0, 0);
    let words = [&["processor begin"], conns].concat();
    while answered < answers {
        let next = stage.take_any_event(&words);
        let words: Vec<&str> = next.split(' ').collect();
        if let ["processor", "begin", id, ..] = words[..] {
            let complete = format!("complete {} {id} OK out", stage.next_notice_number());
            stage.send_processor_line(&complete);
        } else if let [_, seq, how, ..] = words[..]
            && seq != "0"
        {
            assert!(["served", "refused", "failed", "good"].contains(&how), "{next}");
            answered += 1;
            served += usize::from(how == "served");
        } else {
            assert_ne!(words.last(), Some(&"closed"), "closed after {answered} of {answers} answers");
        }
    }
    served
}

/// The answer to one message, on a new connection for each attempt: when connection slots are scarce, the server
/// closes a connection on which a slow machine delays the complete message.
fn answer(stage: &mut SocketStage, name: &str, message: &str) -> String {
    for n in 0..100 {
        let conn = format!("{name}-{n}");
        play(stage, &format!("send {conn} {message}"));
        let answered = format!("{conn} 1 ");
        loop {
            let event = stage.take_any_event(&[&conn]);
            if event.starts_with(&answered) {
                return event;
            }
            if event.starts_with(&format!("{conn} closed")) {
                break;
            }
        }
    }
    panic!("{name} was closed 100 times without an answer");
}

/// Guards against treating a half-close as a close, which dropped 32 open requests without an answer.
#[test]
fn a_half_closed_connection_with_32_open_requests_gets_32_answers() {
    let mut stage = SocketStage::start("half-close");
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    let calls: String = (1..=32).map(|n| format!("send a + call {n} rid={n} budget=60000\n")).collect();
    play(&mut stage, &format!("{calls} send a health 33\nexpect a 33 good\nhalf-close a"));
    assert!(serve(&mut stage, &["a"], 32) > 0);
    play(&mut stage, "expect a closed\nsend b health 1\nexpect b 1 good");
}

/// Guards against losing complete requests because of invalid data behind them on the connection: an oversized frame,
/// half a frame before the end, or a frame that is never completed.
#[test]
fn a_request_followed_by_invalid_data_is_answered() {
    play(
        &mut SocketStage::start("behind"),
        "expect processor hello 0
         expect control Ready
         send a call 1 rid=1 budget=60000
         send a hex 00100000
         expect a 0 invalid a frame over the size limit
         expect processor begin 1
         send b call 1 rid=2 budget=60000
         send b hex 0000002080
         half-close b
         expect processor begin 2
         send c call 1 rid=3 budget=60000
         send c hex 000000
         expect processor begin 3
         expect c 0 invalid no whole frame in its time
         expect no a closed
         expect no b closed
         expect no c closed
         send a call 2 rid=4
         send processor complete 1 1 OK one
         expect a 1 served one
         expect a closed
         send processor complete 2 2 OK two
         expect b 1 served two
         expect b closed
         send processor complete 3 3 OK three
         expect c 1 served three
         expect c closed
         expect no processor begin",
    );
}

/// Guards against a reset that affects other connections, and against running a keyed request again because its first
/// caller is gone.
#[test]
fn a_reset_with_open_requests_affects_no_other_client_and_repeats_no_run() {
    play(
        &mut SocketStage::start("reset"),
        "expect processor hello 0
         expect control Ready
         send a call 1 method=claim token=t rid=1 budget=3000
         expect processor begin 1
         send b call 1 rid=2 budget=60000
         expect processor begin 2
         reset a
         send c call 1 method=claim token=t rid=3 again=1 budget=3000
         send processor complete 1 1 OK once
         expect c 1 served once
         send processor complete 2 2 OK two
         expect b 1 served two
         expect no processor begin",
    );
}

/// Guards against losing answers, or taking connection slots or threads from others, when a peer terminates its answers
/// unread: once it reads, it gets all of them in order.
#[test]
fn peers_that_read_late_get_every_answer_without_extra_threads() {
    let mut stage = SocketStage::start("late-readers");
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    let threads = stage.thread_count();
    let held: Vec<String> = (0..12).map(|n| format!("h{n}")).collect();
    for conn in &held {
        play(&mut stage, &format!("hold {conn}\nflood {conn} 3000 health"));
    }
    play(
        &mut stage,
        "send a call 1 rid=1 budget=60000
         expect processor begin 1
         send processor complete 1 1 OK out
         expect a 1 served out
         send b health 1
         expect b 1 good",
    );
    assert!(stage.thread_count() <= threads, "{threads} threads and then {}", stage.thread_count());
    for conn in &held {
        play(&mut stage, &format!("release {conn}"));
        for n in 1..=3000 {
            assert_eq!(stage.take_any_event(&[conn]), format!("{conn} {n} good"));
        }
    }
}

/// Guards against requests that arrive byte by byte and take more than their own connection slot.
#[test]
fn trickled_requests_are_served_during_floods_of_every_kind() {
    let mut stage = SocketStage::start("floods");
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    let cancel = "0000001a800100040000000663616e63656c000000090800010000000700";
    let unknown = "0000001180010004000000046e6f6e650000000100";
    for n in 0..8 {
        play(
            &mut stage,
            &format!(
                "flood h{n} 2000 health
                 flood c{n} 2000 hex {cancel}
                 flood u{n} 2000 hex {unknown}
                 flood g{n} 4000 hex 47455420"
            ),
        );
    }
    play(
        &mut stage,
        "trickle a call 1 rid=1 budget=60000
         trickle b call 1 rid=2 budget=60000
         expect processor begin 1
         expect processor begin 2
         send processor complete 1 1 OK out
         expect a 1 served out
         send processor complete 2 2 OK out
         expect b 1 served out
         send a health 2
         expect a 2 good",
    );
    for n in 0..8 {
        play(&mut stage, &format!("expect g{n} closed"));
    }
}

/// Guards against requests that are lost after being read, or reset unread, because they arrive at the same instant
/// as SIGTERM: on an idle connection, behind half a request, and on a connection that is not accepted yet.
#[test]
fn requests_that_arrive_with_sigterm_are_answered() {
    let mut stage = SocketStage::start("instant-term");
    play(
        &mut stage,
        "expect processor hello 0
         expect control Ready
         send a health 1
         expect a 1 good
         send b half call 1 rid=2 budget=60000
         freeze
         send a call 2 rid=1 budget=60000
         send c call 1 rid=3 budget=60000
         send server TERM
         thaw
         expect a draining
         expect b draining
         expect c draining
         send b rest",
    );
    serve(&mut stage, &["a", "b", "c"], 3);
    // A second SIGTERM and a reload do not change the drain.
    play(
        &mut stage,
        "send server TERM
         send server HUP retuned
         send d call 1 rid=4
         expect d draining",
    );
    serve(&mut stage, &["d"], 1);
    play(&mut stage, "expect no a closed\nexpect no b closed\nexpect no c closed");
}

/// Guards against losing a request to the close of an idle connection: one that arrived by then is answered, half a
/// request keeps its connection open, and one that arrives later never runs.
#[test]
fn requests_that_arrive_with_an_idle_close_are_answered_or_never_read() {
    let idle = |config: &mut serde_json::Value| {
        config["settings"]["specifics"]["idle"] = serde_json::json!(100_000_000_u64);
    };
    let mut stage = SocketStage::with("instant-idle", 1024, idle);
    play(
        &mut stage,
        "expect processor hello 0
         expect control Ready
         send a health 1
         expect a 1 good
         send b health 1
         expect b 1 good
         send c health 1
         expect c 1 good
         expect a draining
         expect b draining
         expect c draining
         send b half call 2 rid=2 budget=60000
         freeze
         wait 1500
         send a call 2 rid=1 budget=60000
         send b rest
         thaw",
    );
    serve(&mut stage, &["a", "b"], 2);
    play(
        &mut stage,
        "expect c closed
         expect no c closed reset
         send c call 2 rid=3
         send d health 1
         expect d 1
         expect no processor begin",
    );
}

/// Guards against losing answers at the end of a drain that runs its full time: data still in a socket or an
/// unaccepted connection was sent to a listening server. It is answered, the connection is closed without a reset,
/// and the process exits.
#[test]
fn requests_that_arrive_with_the_exit_are_answered() {
    let mut stage = SocketStage::with("instant-exit", 1024, |config| config["stop_ms"] = 2000.into());
    play(
        &mut stage,
        "expect processor hello 0
         expect control Ready
         send a health 1
         expect a 1 good
         hold h
         flood h 300 health
         send server TERM
         expect a draining
         freeze
         wait 2300
         send a call 2 rid=1
         send b call 1 rid=2
         thaw
         expect a 2 refused
         expect b 1 refused
         expect a closed
         expect b closed
         expect no a closed reset
         expect no b closed reset
         expect no processor begin
         release h",
    );
    for n in 1..=300 {
        assert!(stage.take_any_event(&[&format!("h {n}")]).starts_with(&format!("h {n} ")));
    }
    assert_eq!(stage.wait_for_exit(), Some(0));
}

/// Guards against peers that occupy every connection slot indefinitely: health checks, the processor link and the
/// reports continue, a new request is rejected instead of left waiting, and answers owed to other clients arrive.
#[test]
fn with_every_connection_slot_taken_health_checks_are_answered_and_requests_rejected() {
    let mut stage = SocketStage::with("full", 128, |config| {
        // Longer than the test takes on any machine.
        config["settings"]["profiles"][1]["deadline"] = serde_json::json!(600_000_000_000_u64);
    });
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    // One per connection slot; all wait for the run of the first, so none of them can be closed.
    let holders: Vec<String> = (0..63).map(|n| format!("k{n}")).collect();
    for (n, conn) in holders.iter().enumerate() {
        play(
            &mut stage,
            &format!(
                "send {conn} health 1
                 expect {conn} 1 good
                 send {conn} call 2 method=claim token=t mem=0.01 rid={n} budget=600000"
            ),
        );
    }
    play(&mut stage, "expect processor begin 0");
    for n in 0..20 {
        play(&mut stage, &format!("open silent{n}\nsend half{n} half call 1 rid={}", 100 + n));
        let check = answer(&mut stage, &format!("check{n}"), "health 1");
        assert!(check.ends_with(" 1 good"), "{check}");
        let late = answer(&mut stage, &format!("late{n}"), &format!("call 1 rid={}", 200 + n));
        assert!(late.contains(" 1 refused"), "{late}");
        // After its one exchange, each connection yields its slot to the next.
        let conn = late.split(' ').next().expect("a connection");
        play(&mut stage, &format!("expect {conn} closed"));
    }
    assert!(stage.descriptor_count() <= 128);
    play(&mut stage, "close processor\nexpect processor hello 0\nsend processor complete 1 0 OK out");
    for conn in &holders {
        play(&mut stage, &format!("expect {conn} 2 served out\nexpect no {conn} closed"));
    }
}

/// Guards against idle clients that exhaust the file descriptors while the control plane is down: the server keeps
/// its links, answers health checks, does not busy-loop, and reports Ready once the control plane is back.
#[test]
fn idle_clients_exhaust_descriptors_while_the_control_plane_is_down() {
    let mut stage = SocketStage::with("idle-crowd", 128, |_| ());
    play(&mut stage, "expect processor hello 0\nexpect control Ready\nclose control");
    for n in 0..150 {
        // More connections than descriptors; all stay open.
        play(&mut stage, &format!("open i{n}"));
    }
    let (ticks, start) = (stage.cpu_ticks(), std::time::Instant::now());
    play(&mut stage, "wait 1000");
    let (spent, wall) = (stage.cpu_ticks() - ticks, start.elapsed().as_millis() as u64 / 10);
    assert!(spent * 2 < wall, "an idle server used {spent} of {wall} CPU ticks");
    play(
        &mut stage,
        "close processor
         expect processor hello 0",
    );
    let check = answer(&mut stage, "check", "health 1");
    assert!(check.ends_with(" 1 good"), "{check}");
    assert!(stage.descriptor_count() <= 128);
    // A client that keeps trying soon gets a slot: each new connection replaces an idle one.
    let served = (0..1000).any(|n| {
        play(&mut stage, &format!("send a{n} call 1 rid={n} budget=60000"));
        serve(&mut stage, &[&format!("a{n}")], 1) > 0
    });
    assert!(served, "1000 requests were rejected");
    stage.discard_events("control");
    play(&mut stage, "open control\nexpect control Ready");
}

/// Guards against a start that fails because the previous process still holds the address, or that ignores SIGTERM
/// while it waits.
#[test]
fn a_start_waits_for_a_held_address_and_obeys_sigterm() {
    for terminates in [false, true] {
        let holder = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = holder.local_addr().expect("an address");
        let config = scenario::config(&address.to_string(), "127.0.0.1:9", "127.0.0.1:9");
        let (mut program, mut lines) = scenario::socket_stage::start("held", &config.to_string());
        let line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("another process holds the address"))
            .expect("a line");
        assert!(line.contains(&address.to_string()), "{line}");
        if terminates {
            scenario::socket_stage::send_signal(&program, "TERM");
            assert!(
                lines
                    .by_ref()
                    .map_while(Result::ok)
                    .any(|line| line.contains("received SIGTERM during start-up"))
            );
            assert!(program.wait().expect("a program").success());
        } else {
            drop(holder);
            assert!(lines.by_ref().map_while(Result::ok).any(|line| line.contains("serving")));
            std::net::TcpStream::connect(address).expect("it listens");
            scenario::socket_stage::send_signal(&program, "KILL");
            program.wait().expect("a program");
        }
    }
}

/// Guards a start without processor and control plane: requests are rejected, health is bad, SIGTERM is obeyed, and
/// requests are served once the processor appears.
#[test]
fn a_start_without_a_processor_rejects_requests_until_the_processor_appears() {
    let processor = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = processor.local_addr().expect("an address").to_string();
    drop(processor);
    let mut stage = SocketStage::with("no-processor", 1024, |config| {
        config["processor"] = address.clone().into();
        config["control"] = "127.0.0.1:9".into();
    });
    play(
        &mut stage,
        "send a health 1
         expect a 1 bad
         send a call 2 rid=1
         expect a 2 refused",
    );
    stage.start_processor_at(&address);
    play(&mut stage, "expect processor hello 0\nsend a call 3 rid=2 budget=60000");
    serve(&mut stage, &["a"], 1);
    play(&mut stage, "send server TERM\nexpect a draining");
}

/// Guards against running a keyed request again because its retry and the end of its run arrive at one instant, in
/// either order, or because the link fails at that instant.
#[test]
fn a_keyed_retry_that_arrives_with_the_end_of_the_run_is_answered_from_it() {
    let mut stage = SocketStage::start("instant-end");
    play(
        &mut stage,
        "expect processor hello 0
         expect control Ready
         send a call 1 method=claim token=t rid=1
         send c call 1 method=claim token=u rid=3
         expect processor begin 1
         expect processor begin 3
         freeze
         send processor complete 1 1 OK once
         send b call 1 method=claim token=t rid=2 again=1
         send d call 1 method=claim token=u rid=4 again=1
         send processor complete 2 3 ERROR
         reset a
         thaw
         expect b 1 served once
         expect c 1 failed
         expect d 1 failed
         freeze
         send b call 2 method=claim token=t rid=5 again=1
         send b call 3 method=claim token=u rid=6 again=1
         close processor
         thaw
         expect b 2 served once
         expect b 3 failed
         expect processor hello 2
         expect no processor begin",
    );
}

/// Guards against losing a result because the link broke within it, and against serving a truncated result: the new
/// link starts after the last complete notice, and the processor sends the result again.
#[test]
fn a_result_truncated_with_its_link_is_resent_and_served_completely() {
    play(
        &mut SocketStage::start("cut"),
        "expect processor hello 0
         expect control Ready
         send a call 1 rid=1 budget=60000
         send a call 2 rid=2 budget=60000
         expect processor begin 1
         expect processor begin 2
         send processor complete 1 2 OK two
         expect a 2 served two
         send processor half complete 2 0000000000000001 OK 5.125 40 0123456789012345678901234567890123456789
         close processor
         expect processor hello 1
         expect no a 1
         send processor complete 2 1 OK whole
         expect a 1 served whole
         send processor complete 2 1 OK again
         send a health 3
         expect a 3 good
         expect no a 1
         expect no processor begin",
    );
}

/// Guards against missing or duplicate answers under floods of complete requests, while other connections open and
/// close, some with an open request, by a close or a reset.
#[test]
fn request_floods_during_connection_churn_are_all_answered() {
    let mut stage = SocketStage::start("requests-flood");
    play(&mut stage, "expect processor hello 0\nexpect control Ready");
    for n in 0..4 {
        play(&mut stage, &format!("flood r{n} 200 call {}", 1000 * (n + 1)));
    }
    for n in 0..60 {
        play(
            &mut stage,
            &format!(
                "open o{n}
                 close o{n}
                 send e{n} call 1 rid={} budget=60000
                 close e{n}
                 send x{n} half call 1 rid={}
                 reset x{n}",
                10_000 + n,
                20_000 + n
            ),
        );
    }
    let served = serve(&mut stage, &["r0", "r1", "r2", "r3"], 800);
    assert!(served > 0, "none of 800 requests was served");
    // Runs that begin from here on belong to closed connections; no request is answered twice.
    play(&mut stage, "send a health 1\nexpect a 1");
    for n in 0..4 {
        play(&mut stage, &format!("send r{n} health 1000\nexpect r{n} 1000\nexpect no r{n} closed"));
        let more =
            stage.pending_events().into_iter().filter(|event| event.starts_with(&format!("r{n} "))).count();
        assert_eq!(more, 0, "more than one answer per request");
    }
}
