//! The processor link at byte level, with the real program between a client and a scripted processor: maximum-length
//! lines, breaks at every byte, and processor restarts. Every run that begins is checked against the client's
//! request, and every result served against the one the processor produced for that request.

mod scenario;
use scenario::scripted_processor::{Command, Link, ScriptedProcessor};
use scenario::socket_stage::SocketStage;
use scenario::{Stage, play, thrift};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Instant;

/// Maximum sizes of body and result in the protocol.
const MAX_BODY_BYTES: usize = 2048;
const MAX_RESULT_BYTES: usize = 4096;

/// Sends a request of client `a` whose sequence number is also its id, with an arbitrary body.
fn send_request(stage: &mut SocketStage, seq: i32, body: &[u8]) {
    let fields = [
        ("method", "read".to_string()),
        ("rid", format!("{seq:016x}")),
        ("t0", stage.unix_ms().to_string()),
        ("peer", "4".to_string()),
        ("acct", "acme".to_string()),
        ("budget", "60000".to_string()),
        ("mem", "1".to_string()),
        ("prio", "0.5".to_string()),
    ];
    stage.send_frame("a", &thrift::call(seq, &fields, body), false);
}

/// The result that a request of client `a` is served with; any other answer fails the test.
fn expect_result(stage: &mut SocketStage, seq: i32) -> String {
    let event = stage.take_any_event(&[&format!("a {seq}")]);
    let served =
        event.strip_prefix(&format!("a {seq} served")).unwrap_or_else(|| panic!("not served: {event}"));
    let result = served.rfind(" hint=").map_or(served, |hint| &served[..hint]);
    result.strip_prefix(' ').unwrap_or(result).to_string()
}

/// Checks id, class and body of the next run; returns the id.
fn expect_run(link: &mut Link, seq: i32, body: &[u8]) -> String {
    let begun = link.next_run();
    assert_eq!(begun, (format!("{seq:016x}"), "read".to_string(), body.to_vec()), "call {seq}");
    begun.0
}

/// Guards against a link that fails on a long remark, and on the same remark again after each hello, so that no run
/// began any more. Covers lengths around the buffer size, remarks of many buffers, and a line end split in two.
#[test]
fn a_remark_of_any_length_keeps_the_link_intact() {
    let processor = ScriptedProcessor::new();
    let mut stage = processor.server("remarks", |_| ());
    let (mut link, _) = processor.greet();
    play(&mut stage, "expect control Ready");
    let lengths = [0, 1, 4_000, 70_000].into_iter().chain(4_590..4_610);
    for (n, length) in (1..).zip(lengths) {
        let remark = [format!("remark {} ", 2 * n - 1).as_bytes(), &vec![b'x'; length], b"\r"].concat();
        assert!(link.send(&remark), "{length}");
        // The final byte is sent separately, after the preceding bytes were most likely read.
        thread::yield_now();
        assert!(link.send(b"\n"), "{length}");
        send_request(&mut stage, n, b"in");
        let id = expect_run(&mut link, n, b"in");
        link.send_with_payload(&format!("complete {} {id} OK 5.125", 2 * n), b"out");
        assert_eq!(expect_result(&mut stage, n), "out");
    }
    link.close(false);
    let (_, last) = processor.greet();
    assert_eq!(last, 48, "remarks count as notices read");
}

/// Starts an upstream that answers each call with as many bytes as its body states.
fn start_upstream() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            thread::spawn(move || serve_calls(socket));
        }
    });
    address
}

fn serve_calls(socket: TcpStream) {
    let mut writes = socket.try_clone().expect("a clone");
    let mut reads = BufReader::new(socket);
    let (mut line, mut length) = (String::new(), 0);
    while reads.read_line(&mut line).is_ok_and(|len| len > 0) {
        if let Some(value) = line.to_lowercase().strip_prefix("content-length: ") {
            length = value.trim().parse().expect("a length");
        }
        if line == "\r\n" {
            let mut body = vec![0; length];
            reads.read_exact(&mut body).expect("a body");
            let reply = vec![b'r'; String::from_utf8(body).expect("a number").parse().expect("a number")];
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", reply.len());
            let _ = writes.write_all(&[head.as_bytes(), &reply].concat());
        }
        line.clear();
    }
}

/// Guards against a link that fails on a command longer than a buffer, and on the same command again on every later
/// link: an upstream reply of maximum length.
#[test]
fn an_accepted_reply_of_any_length_reaches_its_run_unchanged() {
    let (processor, upstream) = (ScriptedProcessor::new(), start_upstream());
    let mut stage = processor.server("replies", |config| {
        config["ledger"] = json!(upstream);
        config["settings"]["specifics"]["below"] = json!("shared");
        config["settings"]["specifics"]["calls_by_class"] = json!([true, true]);
        config["settings"]["specifics"]["calls_out"] = json!(4.0);
    });
    let (mut link, _) = processor.greet();
    play(&mut stage, "expect control Ready");
    for (n, length) in (1..).zip([0, 1, MAX_RESULT_BYTES, 4_570, 4_574, 4_575, 4_576, 4_577, 4_607, 4_608]) {
        send_request(&mut stage, n, b"in");
        let id = expect_run(&mut link, n, b"in");
        link.send_with_payload(&format!("ask {} {id}", 2 * n - 1), length.to_string().as_bytes());
        let Some(Command::Answer { id: answered, reply }) = link.next_run_command() else {
            panic!("{length}: no answer")
        };
        assert_eq!((&answered, reply), (&id, vec![b'r'; length]), "{length}");
        link.send_with_payload(&format!("complete {} {id} OK 5.125", 2 * n), b"out");
        assert_eq!(expect_result(&mut stage, n), "out");
    }
}

/// Deterministic pseudorandom numbers, the same on every machine.
struct RandomSource(u64);

impl RandomSource {
    fn below(&mut self, bound: usize) -> usize {
        // SplitMix64 (Steele, Lea and Flood).
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        usize::try_from((z ^ (z >> 31)) >> 33).expect("31 bits") % bound
    }

    fn one_in(&mut self, count: usize) -> bool {
        self.below(count) == 0
    }

    /// A length up to `max`, often one of both extremes.
    fn length(&mut self, max: usize) -> usize {
        [0, max, self.below(max + 1), self.below(60)][self.below(4)]
    }

    /// Text that resembles lines of the link protocol.
    fn text(&mut self, length: usize) -> Vec<u8> {
        let words = [
            "\r\n",
            " ",
            "complete 1 0000000000000001 OK 5 0\r\n\r\n",
            "begin",
            "hello 0\r\n",
            "0",
            "usage x\r\n",
        ];
        let mut text = Vec::new();
        while text.len() < length {
            text.extend_from_slice(words[self.below(words.len())].as_bytes());
        }
        text.truncate(length);
        text
    }
}

/// State of the simulated processor: the runs it was asked for, each with its result, and the notices it has sent.
#[derive(Default)]
struct ProcessorState {
    /// Class, body and result by id.
    runs: BTreeMap<String, (String, Vec<u8>, Vec<u8>)>,
    /// Runs whose end was not reported.
    open: Vec<String>,
    notices: Vec<Vec<u8>>,
}

impl ProcessorState {
    /// Handles a `begin` command; a known run is not begun again.
    fn handle(&mut self, command: Command, random: &mut RandomSource) {
        let Command::Begin { id, class, body } = command else { panic!("not a begin: {command:?}") };
        if let Some((known_class, known_body, _)) = self.runs.get(&id) {
            assert_eq!((known_class, known_body), (&class, &body), "{id} was begun with a different request");
            return;
        }
        let length = random.length(MAX_RESULT_BYTES);
        let result = random.text(length);
        self.open.push(id.clone());
        self.runs.insert(id, (class, body, result));
    }

    /// The next notice: usually the end of a run, otherwise one that must have no effect.
    fn notice(&mut self, random: &mut RandomSource) -> Vec<u8> {
        let n = self.notices.len() + 1;
        let notice = match random.below(8) {
            0 => [format!("remark {n} ").as_bytes(), &vec![b'x'; random.length(10_000)], b"\r\n"].concat(),
            1 => format!("complete {n} ffffffffffffffff OK 1.5 4\r\nnone\r\n").into_bytes(),
            _ => {
                let id = self.open.swap_remove(random.below(self.open.len()));
                let result = &self.runs[&id].2;
                let line = format!("complete {n} {id} OK {}.25 {}\r\n", random.below(90), result.len());
                [line.as_bytes(), result, b"\r\n"].concat()
            }
        };
        self.notices.push(notice.clone());
        notice
    }

    /// Greets on the server's next link and resends the notices that the server has not read; the link may break
    /// again meanwhile.
    fn link(&self, processor: &ScriptedProcessor, random: &mut RandomSource) -> Link {
        loop {
            let (mut link, last) = processor.greet();
            let last = usize::try_from(last).expect("a number");
            assert!(last <= self.notices.len(), "notice {last} was never sent");
            let mut unread = self.notices[last..].concat();
            let cut = !unread.is_empty() && random.one_in(3);
            if cut {
                unread.truncate(random.below(unread.len()));
            }
            link.send(&unread);
            if !cut {
                return link;
            }
            link.close(random.one_in(2));
        }
    }
}

/// Guards against losing runs, running them with another body or serving another result when the link breaks within
/// commands and notices, is read slowly or delivers notices twice.
#[test]
fn requests_and_results_stay_intact_across_link_failures() {
    for seed in 1..=2 {
        check_random_link(seed, 25);
    }
}

fn check_random_link(seed: u64, rounds: usize) {
    let (mut random, processor, mut state) =
        (RandomSource(seed), ScriptedProcessor::new(), ProcessorState::default());
    let mut stage = processor.server(&format!("drawn-{seed}"), |_| ());
    let mut link = state.link(&processor, &mut random);
    play(&mut stage, "expect control Ready");
    let mut sent = 0;
    for round in 0..rounds {
        let first = sent + 1;
        let mut bodies = BTreeMap::new();
        for _ in 0..=random.below(3) {
            sent += 1;
            let length = random.length(MAX_BODY_BYTES);
            let body = random.text(length);
            send_request(&mut stage, sent, &body);
            bodies.insert(format!("{sent:016x}"), body);
        }
        let at = format!("seed {seed}, round {round}");
        let mut ended = 0;
        while ended < bodies.len() {
            let begun = bodies.keys().filter(|id| state.runs.contains_key(*id)).count();
            if random.one_in(5) {
                link.close(random.one_in(2));
                link = state.link(&processor, &mut random);
            } else if begun < bodies.len() || state.open.is_empty() {
                match link.next_run_command() {
                    Some(command) => state.handle(command, &mut random),
                    // If a slow machine delays the answers of the test, only the link is lost.
                    None => link = state.link(&processor, &mut random),
                }
            } else {
                let notice = state.notice(&mut random);
                ended = bodies.len() - state.open.len();
                let sent_bytes = if random.one_in(3) { random.below(notice.len()) } else { notice.len() };
                link.send(&notice[..sent_bytes]);
                if sent_bytes < notice.len() {
                    link.close(random.one_in(2));
                    link = state.link(&processor, &mut random);
                } else if random.one_in(4) {
                    link.send(&state.notices[random.below(state.notices.len())]);
                }
            }
        }
        for seq in first..=sent {
            let id = format!("{seq:016x}");
            let (class, body, made) = &state.runs[&id];
            assert!(class == "read" && *body == bodies[&id], "{at}: {id} ran with a different request");
            assert!(
                expect_result(&mut stage, seq).as_bytes() == made,
                "{at}: {id} was served a different result"
            );
        }
    }
}

/// Guards against losing, duplicating or altering a run when the link breaks within its command or its notice, at any
/// byte, and against reading a notice twice.
#[test]
fn a_link_broken_at_any_byte_of_a_command_or_notice_loses_no_result() {
    let processor = ScriptedProcessor::new();
    let mut stage = processor.server("cuts", |_| ());
    let (mut link, _) = processor.greet();
    play(&mut stage, "expect control Ready");
    let (body, made) = (b"in\r\nusage 7\r\n", b"out\r\ncomplete 9 0000000000000001 OK 1 0\r\n\r\n");
    let command =
        |seq: i32| [format!("begin {seq:016x} read {}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat();
    for cut in 0..=command(1).len() {
        let seq = 1 + i32::try_from(cut).expect("a number");
        send_request(&mut stage, seq, body);
        // Gauge queries come before the command, never within it. If a slow machine delays their answers, only the
        // link is lost.
        while !link.answer_gauge_queries() {
            link = processor.greet().0;
        }
        let received = link.take_bytes(cut);
        assert_eq!(received, command(seq)[..cut]);
        link.close(cut % 2 == 0);
        let (next, last) = processor.greet();
        assert_eq!(last, u64::try_from(seq).expect("a number") - 1);
        link = next;
        let id = expect_run(&mut link, seq, body);
        link.send_with_payload(&format!("complete {seq} {id} OK 5.125"), made);
        assert_eq!(expect_result(&mut stage, seq).as_bytes(), made, "{cut}");
    }
    let first = 2 + command(1).len();
    let notice = |n: usize| {
        let line = format!("complete {n} {n:016x} OK 5.125 {}\r\n", made.len());
        [line.as_bytes(), made, b"\r\n"].concat()
    };
    for cut in 0..=notice(first).len() {
        let n = first + cut;
        let seq = i32::try_from(n).expect("a number");
        send_request(&mut stage, seq, body);
        expect_run(&mut link, seq, body);
        link.send(&notice(n)[..cut]);
        let is_complete = cut == notice(n).len();
        if is_complete {
            assert_eq!(expect_result(&mut stage, seq).as_bytes(), made);
        }
        link.close(false);
        let (next, last) = processor.greet();
        assert_eq!(last, u64::try_from(if is_complete { n } else { n - 1 }).expect("a number"), "{cut}");
        link = next;
        if !is_complete {
            link.send(&notice(n));
            assert_eq!(expect_result(&mut stage, seq).as_bytes(), made, "{cut}");
        }
    }
}

/// Guards against mistaking a restarted processor for the previous one because the server read the last bytes of the
/// previous one late: the new notices were taken for known ones, and no request got its result until the new
/// processor had sent as many notices as the old one.
#[test]
fn a_processor_restart_while_the_server_lags_is_recognised() {
    let processor = ScriptedProcessor::new();
    let mut stage = processor.server("restart-late", |_| ());
    let (mut link, _) = processor.greet();
    play(&mut stage, "expect control Ready");
    for seq in 1..=3 {
        send_request(&mut stage, seq, b"in");
        let id = expect_run(&mut link, seq, b"in");
        link.send_with_payload(&format!("complete {seq} {id} OK 5.125"), b"out");
        assert_eq!(expect_result(&mut stage, seq), "out");
    }
    send_request(&mut stage, 4, b"lost");
    expect_run(&mut link, 4, b"lost");
    // The last notice, the close and the start of the new processor all happen before the server reads any of them.
    play(&mut stage, "freeze");
    link.send(b"remark 4 the last\r\n");
    link.close(false);
    let restarted_at = Instant::now();
    play(&mut stage, "thaw");
    let (_link, last) = processor.greet_as(|| restarted_at.elapsed());
    assert_eq!(last, 4);
    let (mut link, last) = processor.greet_as(|| restarted_at.elapsed());
    assert_eq!(last, 0, "the notices of a restarted processor begin at 1");
    play(&mut stage, "expect a 4 failed");
    send_request(&mut stage, 5, b"in");
    let id = expect_run(&mut link, 5, b"in");
    link.send_with_payload(&format!("complete 1 {id} OK 5.125"), b"new");
    assert_eq!(expect_result(&mut stage, 5), "new");
}

/// Guards against settings without gauges, or with gauges the processor lacks: the processor's answers ended the
/// link, again on every later link.
#[test]
fn missing_gauges_keep_the_link_intact() {
    for (n, (gauges, values)) in
        (1..).zip([(json!([]), ""), (json!([]), " "), (json!(["links", "core_use"]), " - nan")])
    {
        let processor = ScriptedProcessor::new();
        let mut stage = processor
            .server(&format!("gauges-{n}"), |config| config["settings"]["specifics"]["gauges"] = gauges);
        let (mut link, _) = processor.greet();
        play(&mut stage, "expect control Ready");
        for seq in 1..=3 {
            send_request(&mut stage, seq, b"in");
            let (mut queries, mut id) = (0, None);
            while queries < 2 || id.is_none() {
                match link.command() {
                    Some(Command::Usage(tag)) => {
                        link.send(format!("used {tag}{values}\r\n").as_bytes());
                        queries += 1;
                    }
                    Some(Command::Begin { id: begun, .. }) => id = Some(begun),
                    other => panic!("gauges{values:?}: expected a gauge query or a run, got {other:?}"),
                }
            }
            let id = id.expect("a run");
            link.send_with_payload(&format!("complete {seq} {id} OK 5.125"), b"out");
            assert_eq!(expect_result(&mut stage, seq), "out");
        }
    }
}

/// Guards against leaving requests unanswered while the processor has not greeted, and against losing or duplicating
/// runs when a greeting is late, repeated or out of order.
#[test]
fn a_greeting_may_be_late_or_repeated() {
    let processor = ScriptedProcessor::new();
    let mut stage = processor.server("greetings", |_| ());
    let mut link = processor.accept();
    assert_eq!(link.command(), Some(Command::Hello(0)));
    play(&mut stage, "send h health 1\nexpect h 1 bad\nsend a call 1 rid=1 budget=60000\nexpect a 1 refused");
    let greeting = || format!("hi COLD {}\r\n", processor.uptime().as_millis()).into_bytes();
    link.send(&greeting());
    play(&mut stage, "expect control Ready");
    send_request(&mut stage, 2, b"in");
    let id = expect_run(&mut link, 2, b"in");
    link.send(&greeting());
    link.send(b"reject begin ffffffffffffffff\r\nreject interrupt x\r\nused 999999 9 9 9 9\r\n");
    link.close(false);
    // The notice precedes the greeting of this link, and is repeated after it.
    let mut link = processor.accept();
    assert_eq!(link.command(), Some(Command::Hello(0)));
    let notice = format!("complete 1 {id} OK 5.125 3\r\nout\r\n").into_bytes();
    link.send(&[&notice[..], &greeting(), &notice, &greeting()].concat());
    assert_eq!(expect_result(&mut stage, 2), "out");
    send_request(&mut stage, 3, b"next");
    let id = expect_run(&mut link, 3, b"next");
    link.send_with_payload(&format!("complete 2 {id} OK 5.125"), b"");
    assert_eq!(expect_result(&mut stage, 3), "");
    play(&mut stage, "expect no a 2\nexpect no a 3");
}
