//! The link to the processor, byte by byte, with the real program between a client and a scripted processor: what the
//! longest lines, cuts at every byte and other processors do to it. Each run that begins is held against what the client
//! sent, each result that is served against what the processor made for that request.

mod scenario;
use scenario::scripted::{Command, Link, Scripted};
use scenario::sockets::Sockets;
use scenario::{Stage, play, thrift};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Instant;

/// Longest body and result that the protocol allows.
const MOST_BODY: usize = 2048;
const MOST_RESULT: usize = 4096;

/// A call of the client `a`, with its number as its id too and a body of any bytes.
fn call(stage: &mut Sockets, seq: i32, body: &[u8]) {
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
    stage.client("a", &thrift::call(seq, &fields, body), false);
}

/// The result that a call of the client `a` is served with; anything else fails the test.
fn result(stage: &mut Sockets, seq: i32) -> String {
    let event = stage.take_any(&[&format!("a {seq}")]);
    let served =
        event.strip_prefix(&format!("a {seq} served")).unwrap_or_else(|| panic!("not served: {event}"));
    let whole = served.rfind(" hint=").map_or(served, |hint| &served[..hint]);
    whole.strip_prefix(' ').unwrap_or(whole).to_string()
}

/// The request that runs here has this body and class; its id.
fn begins(link: &mut Link, seq: i32, body: &[u8]) -> String {
    let begun = link.begin();
    assert_eq!(begun, (format!("{seq:016x}"), "read".to_string(), body.to_vec()), "call {seq}");
    begun.0
}

/// Guards against a link that falls over a long remark, and over the same remark again after each hello: no run was
/// begun any more. Remarks of each length about a buffer's, of many buffers, and whose line end comes in two pieces.
#[test]
fn a_remark_of_any_length_leaves_the_link_as_it_is() {
    let processor = Scripted::new();
    let mut stage = processor.server("remarks", |_| ());
    let (mut link, _) = processor.greet();
    play(&mut stage, "expect control Ready");
    let lengths = [0, 1, 4_000, 70_000].into_iter().chain(4_590..4_610);
    for (n, length) in (1..).zip(lengths) {
        let remark = [format!("remark {} ", 2 * n - 1).as_bytes(), &vec![b'x'; length], b"\r"].concat();
        assert!(link.send(&remark), "{length}");
        // Its line end comes by itself, and only once what came before was most likely read.
        thread::yield_now();
        assert!(link.send(b"\n"), "{length}");
        call(&mut stage, n, b"in");
        let id = begins(&mut link, n, b"in");
        link.tell(&format!("complete {} {id} OK 5.125", 2 * n), b"out");
        assert_eq!(result(&mut stage, n), "out");
    }
    link.cut(false);
    let (_, last) = processor.greet();
    assert_eq!(last, 48, "remarks are notices that were read");
}

/// A shared dependency that answers each call with so many bytes, by the length that the call's body tells.
fn dependency() -> String {
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
        if let Some(told) = line.to_lowercase().strip_prefix("content-length: ") {
            length = told.trim().parse().expect("a length");
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

/// Guards against a link that falls over a command longer than a buffer, and over the same command again on each link
/// after it: a reply that the shared dependency made as long as it may be, with its line.
#[test]
fn a_reply_of_any_length_that_is_taken_reaches_its_run_unchanged() {
    let (processor, dependency) = (Scripted::new(), dependency());
    let mut stage = processor.server("replies", |config| {
        config["ledger"] = json!(dependency);
        config["settings"]["specifics"]["below"] = json!("shared");
        config["settings"]["specifics"]["calls_by_class"] = json!([true, true]);
        config["settings"]["specifics"]["calls_out"] = json!(4.0);
    });
    let (mut link, _) = processor.greet();
    play(&mut stage, "expect control Ready");
    for (n, length) in (1..).zip([0, 1, MOST_RESULT, 4_570, 4_574, 4_575, 4_576, 4_577, 4_607, 4_608]) {
        call(&mut stage, n, b"in");
        let id = begins(&mut link, n, b"in");
        link.tell(&format!("ask {} {id}", 2 * n - 1), length.to_string().as_bytes());
        let Some(Command::Answer { id: answered, reply }) = link.order() else {
            panic!("{length}: no answer")
        };
        assert_eq!((&answered, reply), (&id, vec![b'r'; length]), "{length}");
        link.tell(&format!("complete {} {id} OK 5.125", 2 * n), b"out");
        assert_eq!(result(&mut stage, n), "out");
    }
}

/// Numbers that a seed gives, the same on each machine.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: usize) -> usize {
        // The generator of Steele, Lea and Flood (SplitMix64).
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        usize::try_from((z ^ (z >> 31)) >> 33).expect("31 bits") % bound
    }

    fn chance(&mut self, of: usize) -> bool {
        self.below(of) == 0
    }

    /// A length up to the bound, and often one of both ends.
    fn length(&mut self, most: usize) -> usize {
        [0, most, self.below(most + 1), self.below(60)][self.below(4)]
    }

    /// Text that looks much like lines of the link.
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

/// What a processor knows: the runs it was asked for, with the result that each has, and the notices it keeps.
#[derive(Default)]
struct Machine {
    /// By id: the class, the body and the result.
    runs: BTreeMap<String, (String, Vec<u8>, Vec<u8>)>,
    /// Those whose end was not told.
    open: Vec<String>,
    notices: Vec<Vec<u8>>,
}

impl Machine {
    /// Takes a command; a run that it has is not begun again.
    fn take(&mut self, command: Command, draws: &mut Draws) {
        let Command::Begin { id, class, body } = command else { panic!("no run: {command:?}") };
        if let Some((known_class, known_body, _)) = self.runs.get(&id) {
            assert_eq!((known_class, known_body), (&class, &body), "{id} came with something else");
            return;
        }
        let length = draws.length(MOST_RESULT);
        let result = draws.text(length);
        self.open.push(id.clone());
        self.runs.insert(id, (class, body, result));
    }

    /// The next notice: mostly the end of a run, else one of which nothing may follow.
    fn notice(&mut self, draws: &mut Draws) -> Vec<u8> {
        let n = self.notices.len() + 1;
        let notice = match draws.below(8) {
            0 => [format!("remark {n} ").as_bytes(), &vec![b'x'; draws.length(10_000)], b"\r\n"].concat(),
            1 => format!("complete {n} ffffffffffffffff OK 1.5 4\r\nnone\r\n").into_bytes(),
            _ => {
                let id = self.open.swap_remove(draws.below(self.open.len()));
                let result = &self.runs[&id].2;
                let line = format!("complete {n} {id} OK {}.25 {}\r\n", draws.below(90), result.len());
                [line.as_bytes(), result, b"\r\n"].concat()
            }
        };
        self.notices.push(notice.clone());
        notice
    }

    /// Greets on the server's next link and tells what it did not read, which may be cut again.
    fn link(&self, processor: &Scripted, draws: &mut Draws) -> Link {
        loop {
            let (mut link, last) = processor.greet();
            let last = usize::try_from(last).expect("a number");
            assert!(last <= self.notices.len(), "notice {last} was never told");
            let mut unread = self.notices[last..].concat();
            let cut = !unread.is_empty() && draws.chance(3);
            if cut {
                unread.truncate(draws.below(unread.len()));
            }
            link.send(&unread);
            if !cut {
                return link;
            }
            link.cut(draws.chance(2));
        }
    }
}

/// Guards against runs lost, run with another's body or served with another's result because the link fell in the midst
/// of commands and notices, was slow to be read or told things twice.
#[test]
fn requests_and_results_stay_whole_whatever_becomes_of_the_link() {
    for seed in 1..=2 {
        played(seed, 25);
    }
}

fn played(seed: u64, rounds: usize) {
    let (mut draws, processor, mut machine) = (Draws(seed), Scripted::new(), Machine::default());
    let mut stage = processor.server(&format!("drawn-{seed}"), |_| ());
    let mut link = machine.link(&processor, &mut draws);
    play(&mut stage, "expect control Ready");
    let mut sent = 0;
    for round in 0..rounds {
        let first = sent + 1;
        let mut bodies = BTreeMap::new();
        for _ in 0..=draws.below(3) {
            sent += 1;
            let length = draws.length(MOST_BODY);
            let body = draws.text(length);
            call(&mut stage, sent, &body);
            bodies.insert(format!("{sent:016x}"), body);
        }
        let at = format!("seed {seed}, round {round}");
        let mut told = 0;
        while told < bodies.len() {
            let begun = bodies.keys().filter(|id| machine.runs.contains_key(*id)).count();
            if draws.chance(5) {
                link.cut(draws.chance(2));
                link = machine.link(&processor, &mut draws);
            } else if begun < bodies.len() || machine.open.is_empty() {
                match link.order() {
                    Some(command) => machine.take(command, &mut draws),
                    // A machine that kept the test from answering for long costs a link, and nothing else.
                    None => link = machine.link(&processor, &mut draws),
                }
            } else {
                let notice = machine.notice(&mut draws);
                told = bodies.len() - machine.open.len();
                let whole = if draws.chance(3) { draws.below(notice.len()) } else { notice.len() };
                link.send(&notice[..whole]);
                if whole < notice.len() {
                    link.cut(draws.chance(2));
                    link = machine.link(&processor, &mut draws);
                } else if draws.chance(4) {
                    link.send(&machine.notices[draws.below(machine.notices.len())]);
                }
            }
        }
        for seq in first..=sent {
            let id = format!("{seq:016x}");
            let (class, body, made) = &machine.runs[&id];
            assert!(class == "read" && *body == bodies[&id], "{at}: {id} ran with something else");
            assert!(result(&mut stage, seq).as_bytes() == made, "{at}: {id} was served with something else");
        }
    }
}

/// Guards against a run lost, doubled or changed because the link was cut in the midst of its command or of its end, at
/// whichever byte, and against a notice that is read twice.
#[test]
fn a_link_cut_at_any_byte_of_a_command_or_a_notice_costs_no_request_its_result() {
    let processor = Scripted::new();
    let mut stage = processor.server("cuts", |_| ());
    let (mut link, _) = processor.greet();
    play(&mut stage, "expect control Ready");
    let (body, made) = (b"in\r\nusage 7\r\n", b"out\r\ncomplete 9 0000000000000001 OK 1 0\r\n\r\n");
    let command =
        |seq: i32| [format!("begin {seq:016x} read {}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat();
    for cut in 0..=command(1).len() {
        let seq = 1 + i32::try_from(cut).expect("a number");
        call(&mut stage, seq, body);
        // Questions come before it, never in its midst. A machine that keeps the test from answering them for long costs
        // a link, and nothing else.
        while !link.questions() {
            link = processor.greet().0;
        }
        let came = link.bytes(cut);
        assert_eq!(came, command(seq)[..cut]);
        link.cut(cut % 2 == 0);
        let (next, last) = processor.greet();
        assert_eq!(last, u64::try_from(seq).expect("a number") - 1);
        link = next;
        let id = begins(&mut link, seq, body);
        link.tell(&format!("complete {seq} {id} OK 5.125"), made);
        assert_eq!(result(&mut stage, seq).as_bytes(), made, "{cut}");
    }
    let first = 2 + command(1).len();
    let notice = |n: usize| {
        let line = format!("complete {n} {n:016x} OK 5.125 {}\r\n", made.len());
        [line.as_bytes(), made, b"\r\n"].concat()
    };
    for cut in 0..=notice(first).len() {
        let n = first + cut;
        let seq = i32::try_from(n).expect("a number");
        call(&mut stage, seq, body);
        begins(&mut link, seq, body);
        link.send(&notice(n)[..cut]);
        let whole = cut == notice(n).len();
        if whole {
            assert_eq!(result(&mut stage, seq).as_bytes(), made);
        }
        link.cut(false);
        let (next, last) = processor.greet();
        assert_eq!(last, u64::try_from(if whole { n } else { n - 1 }).expect("a number"), "{cut}");
        link = next;
        if !whole {
            link.send(&notice(n));
            assert_eq!(result(&mut stage, seq).as_bytes(), made, "{cut}");
        }
    }
}

/// Guards against a server that takes another processor for the one before because it read the last words of that late: all
/// that the new one told was taken for known, and no request got its result until it had told as many notices as the old one.
#[test]
fn a_processor_that_restarts_while_the_server_is_behind_is_served_on() {
    let processor = Scripted::new();
    let mut stage = processor.server("restart-late", |_| ());
    let (mut link, _) = processor.greet();
    play(&mut stage, "expect control Ready");
    for seq in 1..=3 {
        call(&mut stage, seq, b"in");
        let id = begins(&mut link, seq, b"in");
        link.tell(&format!("complete {seq} {id} OK 5.125"), b"out");
        assert_eq!(result(&mut stage, seq), "out");
    }
    call(&mut stage, 4, b"lost");
    begins(&mut link, 4, b"lost");
    // What it says last, its end and the start of another all come before the server reads any of it.
    play(&mut stage, "freeze");
    link.send(b"remark 4 the last\r\n");
    link.cut(false);
    let another = Instant::now();
    play(&mut stage, "thaw");
    let (_link, last) = processor.greet_as(|| another.elapsed());
    assert_eq!(last, 4);
    let (mut link, last) = processor.greet_as(|| another.elapsed());
    assert_eq!(last, 0, "the notices of another processor begin at 1");
    play(&mut stage, "expect a 4 failed");
    call(&mut stage, 5, b"in");
    let id = begins(&mut link, 5, b"in");
    link.tell(&format!("complete 1 {id} OK 5.125"), b"new");
    assert_eq!(result(&mut stage, 5), "new");
}

/// Guards against settings that name no gauges, or others than the processor has: its answers ended the link, and came
/// again on each one after that.
#[test]
fn gauges_that_are_not_told_leave_the_link_as_it_is() {
    for (n, (gauges, values)) in
        (1..).zip([(json!([]), ""), (json!([]), " "), (json!(["links", "core_use"]), " - nan")])
    {
        let processor = Scripted::new();
        let mut stage = processor
            .server(&format!("gauges-{n}"), |config| config["settings"]["specifics"]["gauges"] = gauges);
        let (mut link, _) = processor.greet();
        play(&mut stage, "expect control Ready");
        for seq in 1..=3 {
            call(&mut stage, seq, b"in");
            let (mut asked, mut id) = (0, None);
            while asked < 2 || id.is_none() {
                match link.command() {
                    Some(Command::Usage(tag)) => {
                        link.send(format!("used {tag}{values}\r\n").as_bytes());
                        asked += 1;
                    }
                    Some(Command::Begin { id: begun, .. }) => id = Some(begun),
                    other => panic!("gauges{values:?}: expected a question or a run, got {other:?}"),
                }
            }
            let id = id.expect("a run");
            link.tell(&format!("complete {seq} {id} OK 5.125"), b"out");
            assert_eq!(result(&mut stage, seq), "out");
        }
    }
}

/// Guards against a server that waits for its processor with requests unanswered, and against runs lost or doubled where a
/// greeting comes late, comes twice or comes behind what it should come before.
#[test]
fn a_greeting_may_be_late_and_may_come_again() {
    let processor = Scripted::new();
    let mut stage = processor.server("greetings", |_| ());
    let mut link = processor.accept();
    assert_eq!(link.command(), Some(Command::Hello(0)));
    play(&mut stage, "send h health 1\nexpect h 1 bad\nsend a call 1 rid=1 budget=60000\nexpect a 1 refused");
    let greeting = || format!("hi COLD {}\r\n", processor.age().as_millis()).into_bytes();
    link.send(&greeting());
    play(&mut stage, "expect control Ready");
    call(&mut stage, 2, b"in");
    let id = begins(&mut link, 2, b"in");
    link.send(&greeting());
    link.send(b"reject begin ffffffffffffffff\r\nreject interrupt x\r\nused 999999 9 9 9 9\r\n");
    link.cut(false);
    // Its notice comes before the greeting of this link, and once more behind it.
    let mut link = processor.accept();
    assert_eq!(link.command(), Some(Command::Hello(0)));
    let notice = format!("complete 1 {id} OK 5.125 3\r\nout\r\n").into_bytes();
    link.send(&[&notice[..], &greeting(), &notice, &greeting()].concat());
    assert_eq!(result(&mut stage, 2), "out");
    call(&mut stage, 3, b"next");
    let id = begins(&mut link, 3, b"next");
    link.tell(&format!("complete 2 {id} OK 5.125"), b"");
    assert_eq!(result(&mut stage, 3), "");
    play(&mut stage, "expect no a 2\nexpect no a 3");
}
