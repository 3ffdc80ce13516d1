//! A stage without sockets or real time: the reducer alone, behind the clients' codec.

use super::{Stage, changed_config, config, matches_words, thrift};
use gradepin_admission::{Outcome, RequestId, Settings, Span, Time};
use gradepin_cluster::authentication::{AuthenticationKeys, Header};
use gradepin_cluster::cluster::{Cluster, ClusterSettings, Envelope, MessageKind};
use gradepin_cluster::leases::LeaseSettings;
use gradepin_cluster::members::FailureDetection;
use gradepin_cluster::peer::{Incarnation, Peer};
use gradepin_core::admin::AdminRequest;
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::idempotency_table::RunOutcome;
use gradepin_core::messages::{
    ConnectionId, Effect, Input, LookupId, NameChange, RecordedRun, RunClaim, RunEnd, UpstreamCallId,
};
use gradepin_core::processor_identity::ProcessorIdentity;
use gradepin_core::reducer::{Reducer, lent_share};
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use gradepin_node::admin;
use gradepin_node::frontend::DecodedMessage;
use gradepin_node::frontend::thrift::codec;
use gradepin_node::settings::ActiveSettings;
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: u64 = 1_000_000;

pub struct VirtualStage {
    /// Initial configuration, the base of every reload.
    config: serde_json::Value,
    reducer: Reducer,
    settings: Settings,
    names: ActiveSettings,
    /// Class names by slot, active or not.
    classes: BTreeMap<usize, String>,
    pool: Arc<BufferPool>,
    now_ms: u64,
    /// Offset of the Unix clock from the monotonic clock, in ms.
    unix_offset_ms: i64,
    /// Names of connections; the index is the id.
    conns: Vec<String>,
    pending_inputs: Vec<Input>,
    events: Vec<String>,
    muted: bool,
    /// True while inputs are collected for one common step.
    is_batching: bool,
    link: u64,
    processor_identity: ProcessorIdentity,
    /// When the server began to connect the link that the processor greets next; `None` stands for now if no link has
    /// ended.
    connecting: Option<Time>,
    admin_requests: u64,
    /// Upstream calls in flight, in the order in which they were sent.
    calls_out: Vec<(RequestId, UpstreamCallId)>,
    /// Unanswered look-ups of keys, in the order in which they were requested.
    lookups: Vec<(Arc<str>, LookupId)>,
    /// True while a valid configuration was submitted and is not active yet.
    reloading: bool,
}

impl VirtualStage {
    /// A server whose processor has greeted.
    pub fn ready() -> Self {
        Self::with_processor(|_| ())
    }

    /// Like [`Self::ready`], with a modified configuration.
    pub fn with_processor(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let mut stage = Self::with(change);
        stage.send_processor_line("hi WARM 0");
        stage
    }

    pub fn new() -> Self {
        Self::with(|_| ())
    }

    /// A server with a registry, or with a hold time of planned leaves.
    pub fn registered(registration: Registration) -> Self {
        let mut stage = Self::build(|_| (), registration);
        stage.send_processor_line("hi WARM 0");
        stage
    }

    /// A server that shares an inherited listener with its successor and whose processor has greeted.
    pub fn sharing_listener() -> Self {
        Self::sharing_listener_with(|_| ())
    }

    /// Like [`Self::sharing_listener`], with a modified configuration.
    pub fn sharing_listener_with(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let mut stage = Self::with(change);
        stage.reducer = std::mem::replace(&mut stage.reducer, Self::new().reducer).sharing_listener();
        stage.send_processor_line("hi WARM 0");
        stage
    }

    /// Like [`Self::sharing_listener`], and it shares its keyed runs with the successor too.
    pub fn sharing_runs() -> Self {
        let mut stage = Self::sharing_runs_without_processor();
        stage.send_processor_line("hi WARM 0");
        stage
    }

    /// Like [`Self::sharing_runs`], but its processor has not greeted yet.
    pub fn sharing_runs_without_processor() -> Self {
        let mut stage = Self::new();
        stage.reducer = std::mem::replace(&mut stage.reducer, Self::new().reducer).sharing_runs(Some(7));
        stage
    }

    /// A server that shares its listener and its keyed runs with the other process of an upgrade.
    pub fn in_upgrade() -> Self {
        let mut stage = Self::sharing_runs_without_processor();
        stage.reducer = std::mem::replace(&mut stage.reducer, Self::new().reducer).sharing_listener();
        stage.send_processor_line("hi WARM 0");
        stage
    }

    /// Time passes without a step, as if the process was stopped and continued.
    pub fn pause_process(&mut self, ms: u64) {
        self.now_ms += ms;
        self.settle();
    }

    /// A server that lends and borrows slots of the upstream, in a fleet where it hears no peer yet.
    pub fn lending(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let mut stage = Self::with(change);
        let address = "127.0.0.1:9".parse().expect("an address");
        let own = Peer { name: Arc::from("n1"), incarnation: Incarnation(5), address, zone: Arc::from("z") };
        let settings = ClusterSettings {
            own,
            seeds: vec![address],
            keys: AuthenticationKeys::of([9; 32]),
            failure_detection: FailureDetection::default(),
            max_bytes_per_second: 32_000,
            servers: 2,
            share: lent_share(&stage.settings),
            leases: LeaseSettings::default(),
            probes_per_second: 2.0,
            retry_ratio: Some(0.5),
            seed: 3,
        };
        let cluster = Cluster::new(settings, Time(stage.now_ms * MS));
        let spare = Self::with(|_| ()).reducer;
        stage.reducer = std::mem::replace(&mut stage.reducer, spare).with_cluster(cluster);
        stage.send_processor_line("hi WARM 0");
        stage
    }

    /// A peer, about which nothing else is known, requests to borrow `amount` thousandths of a slot.
    pub fn receive_lease_request(&mut self, number: u8, amount: u16) {
        let keys = AuthenticationKeys::of([9; 32]);
        let (to, sent_us) = (Incarnation(5), self.now_ms * 1_000);
        let header =
            Header { name: "n2", incarnation: Incarnation(6), to, number: u64::from(number), sent_us };
        // Encoding as in `cluster/tests/wire.rs`: request, number, round, and a two-byte amount.
        let [low, high] = [(amount & 0x7f) as u8 | 0x80, (amount >> 7) as u8];
        let body = [MessageKind::Lease.byte(), 0, number, 0, low, high];
        let envelope = Envelope::open(&keys, &keys.authenticate(&header, &body)).expect("it has the key");
        assert!(envelope.lease_message().is_some(), "{envelope:?}");
        self.pending_inputs.push(Input::PeerDatagram(Box::new(envelope)));
        self.settle();
    }

    /// A server with a modified configuration.
    pub fn with(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        Self::build(change, Registration::default())
    }

    fn build(change: impl FnOnce(&mut serde_json::Value), registration: Registration) -> Self {
        let mut text = config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");
        change(&mut text);
        let config = Config::parse(&text.to_string()).expect("a whole configuration");
        let settings = config.settings.clone();
        let classes = settings.profiles.iter().map(|class| class.name.clone()).enumerate().collect();
        Self {
            config: text,
            reducer: Reducer::new(&config, Arc::new(settings.clone()), registration)
                .expect("a whole configuration"),
            names: ActiveSettings::new(&settings),
            classes,
            settings,
            pool: BufferPool::new(8),
            now_ms: 1_000_000,
            unix_offset_ms: 9_000_000,
            conns: Vec::new(),
            pending_inputs: Vec::new(),
            events: Vec::new(),
            muted: false,
            is_batching: false,
            link: 0,
            processor_identity: ProcessorIdentity::default(),
            connecting: None,
            admin_requests: 0,
            calls_out: Vec::new(),
            lookups: Vec::new(),
            reloading: false,
        }
    }

    /// Sets the Unix clock forward, or back.
    pub fn shift_unix_clock_ms(&mut self, ms: i64) {
        self.unix_offset_ms += ms;
    }

    /// Executes these lines of a scenario so that all their inputs arrive in one step.
    pub fn in_one_step(&mut self, text: &str) {
        self.is_batching = true;
        super::play(self, text);
        self.is_batching = false;
        self.settle();
    }

    fn conn(&mut self, name: &str) -> ConnectionId {
        let index = self.conns.iter().position(|known| known == name).unwrap_or_else(|| {
            self.conns.push(name.to_string());
            self.pending_inputs.push(Input::ConnectionOpened(self.conns.len() as ConnectionId - 1));
            self.conns.len() - 1
        });
        index as ConnectionId
    }

    /// Steps until no input and no timer is due at this instant.
    fn settle(&mut self) {
        if self.is_batching {
            return;
        }
        for _ in 0..1000 {
            let moment = Timestamp {
                now: Time(self.now_ms * MS),
                unix_ms: self.now_ms.saturating_add_signed(self.unix_offset_ms),
            };
            let mut effects = Vec::new();
            self.reducer.step(moment, std::mem::take(&mut self.pending_inputs), &mut effects);
            for effect in effects {
                self.apply_effect(effect);
            }
            if self.pending_inputs.is_empty() && self.reducer.wake_at().is_none_or(|at| at > moment.now) {
                return;
            }
        }
        panic!("the reducer requests steps endlessly");
    }

    fn apply_effect(&mut self, effect: Effect) {
        let name = |conn: ConnectionId| self.conns[conn as usize].clone();
        let event = match effect {
            Effect::Respond { connection: conn, sequence: seq, response: answer, capacity_hint: hint } => {
                let frame = codec::encode(seq, &answer, hint, &self.pool).expect("an answer that fits");
                format!("{} {}", name(conn), thrift::event(&frame[4..]))
            }
            Effect::RequestDrain(conn) => format!("{} draining", name(conn)),
            Effect::StopAccepting => {
                // As the reader does, after the connections it has accepted.
                self.pending_inputs.push(Input::StoppedAccepting);
                "stop accepting".to_string()
            }
            Effect::StopReading => {
                // As the reader does, after the messages it has read.
                self.pending_inputs.push(Input::StoppedReading);
                "stop reading".to_string()
            }
            Effect::CloseIdleConnection { connection: conn, .. }
            | Effect::CloseLateConnection { connection: conn, .. }
            | Effect::CloseConnection(conn) => {
                // The peer closes the connection too.
                self.pending_inputs.push(Input::ConnectionClosed(conn));
                format!("{} closed", name(conn))
            }
            Effect::StartRun { id, class, body, .. } => {
                let id = u64::from_str_radix(&id.0, 16).expect("hex");
                let class = &class.profile.name;
                format!("processor begin {id} {class} {}", String::from_utf8_lossy(&body))
            }
            Effect::CallUpstream { id, call: number, body, timeout: limit, .. } => {
                self.calls_out.push((id.clone(), number));
                let id = u64::from_str_radix(&id.0, 16).expect("hex");
                format!("ledger call {id} {} {}", String::from_utf8_lossy(&body), limit.0 / MS)
            }
            Effect::DeliverUpstreamReply { id, reply, .. } => {
                let id = u64::from_str_radix(&id.0, 16).expect("hex");
                format!("processor answer {id} {}", String::from_utf8_lossy(&reply))
            }
            Effect::ClaimRun { id, key: token, .. } => {
                format!("claim {} {token}", u64::from_str_radix(&id.0, 16).expect("hex"))
            }
            Effect::LookUpRun { lookup, key: token, .. } => {
                let event = format!("lookup {token}");
                self.lookups.push((token, lookup));
                event
            }
            Effect::ReleaseClaim { key: token, outcome: end, .. } => {
                let end = match end {
                    Some(RunOutcome::Served(_)) => "served",
                    Some(RunOutcome::Failed | RunOutcome::Unknown) => "failed",
                    None => "void",
                };
                format!("claim-ended {token} {end}")
            }
            Effect::StopRun { id, .. } => {
                format!("processor interrupt {}", u64::from_str_radix(&id.0, 16).expect("hex"))
            }
            Effect::ReadGauges { number: tag, .. } => {
                if !self.muted {
                    self.processor_identity.message_read(Time(self.now_ms * MS));
                    self.pending_inputs
                        .push(Input::GaugesRead { number: tag, values: vec![0.5, 2.0, 0.1, 9.0] });
                }
                return;
            }
            Effect::ReportReadiness { ready } => {
                format!("control {}", if ready { "Ready" } else { "NotReady" })
            }
            Effect::ReconnectProcessor { .. } => "renew".to_string(),
            Effect::SetProcessorAddress(address) => format!("link to {address}"),
            Effect::SetControlAddress(address) => format!("reports to {address}"),
            Effect::SetUpstreamAddress(address) => format!("calls to {address}"),
            Effect::AskRegistry(ask) => {
                let text = format!("{:?}", ask.operation);
                format!("registry {}", text.split(['(', ' ']).next().unwrap_or_default())
            }
            Effect::PersistRecords { number, .. } => format!("store {number}"),
            Effect::ReplayNotices => "retell".to_string(),
            Effect::Exit => "exit".to_string(),
            Effect::UpdateNames { edition, changes } => {
                for change in &changes {
                    match change {
                        NameChange::Class { handle, class } => {
                            self.classes.insert(handle.slot(), class.profile.name.clone());
                        }
                        NameChange::ClassForgotten(class) => {
                            self.classes.retain(|_, name| *name != class.profile.name);
                        }
                        _ => {}
                    }
                }
                self.names.publish(edition, changes);
                return;
            }
            Effect::SetLongestWindow(_) | Effect::SaveConfiguration(_) => return,
            Effect::ReloadFinished => {
                let names: Vec<&str> = self.classes.values().map(String::as_str).collect();
                let reloaded = format!("settings {}", names.join(" "));
                if std::mem::take(&mut self.reloading) { reloaded } else { return }
            }
            Effect::AnswerAdmin { response: answer, .. } => {
                let response = admin::response(answer);
                let lines = response.body.lines().filter(|line| !line.starts_with('#'));
                let status = response.status;
                self.events.extend(lines.map(|line| format!("admin {status} {line}")));
                return;
            }
            Effect::Log { text, .. } if text.starts_with("invariant violated") => panic!("{text}"),
            Effect::Log { text, .. } if text.starts_with("a call to the ledger ") => format!("log {text}"),
            Effect::Log { .. }
            | Effect::ChargeConnection { .. }
            | Effect::SendPeerDatagram { .. }
            | Effect::WriteVoterState { .. } => return,
            Effect::StartRolloutStep { step: turn, .. } => format!("change {}", turn.version),
        };
        self.events.push(event);
    }
}

impl Stage for VirtualStage {
    fn send_frame(&mut self, conn: &str, bytes: &[u8], more: bool) {
        let conn = self.conn(conn);
        let input = match codec::decode(&bytes[4..], &self.names, &self.pool).expect("well-formed") {
            DecodedMessage::Request { sequence: seq, request: call } => {
                Input::Request { connection: conn, sequence: seq, request: call }
            }
            DecodedMessage::HealthCheck { sequence: seq } => {
                Input::HealthCheck { connection: conn, sequence: seq }
            }
            DecodedMessage::Cancel { sequence: seq } => Input::Cancel { connection: conn, sequence: seq },
            DecodedMessage::Invalid { sequence: seq, invalid } => Input::InvalidRequest {
                connection: conn,
                sequence: seq,
                error: invalid.error,
                text: invalid.text,
            },
            DecodedMessage::Unsupported | DecodedMessage::Incomplete => return,
        };
        self.pending_inputs.push(input);
        if !more {
            self.settle();
        }
    }

    fn send_processor_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let id = |text: &str| RequestId::new(&format!("{:016x}", text.parse::<u64>().expect("a number")));
        let input = match words[..] {
            ["hi", state, ms] => {
                self.link += 1;
                let age = Span(ms.parse::<u64>().expect("ms") * MS);
                let (now, connecting) = (Time(self.now_ms * MS), self.connecting.take());
                if self.processor_identity.greeted(connecting.unwrap_or(now), now, age) {
                    self.pending_inputs.push(Input::ProcessorRestarted);
                }
                Input::LinkUp { link: self.link, cold: state == "COLD", age }
            }
            ["complete", n, rid, end, ref result @ ..] => Input::RunCompleted {
                notice: n.parse().expect("a number"),
                id: id(rid),
                end: match end {
                    "OK" => RunEnd::Ok,
                    "ERROR" => RunEnd::Failed,
                    "STOPPED" => RunEnd::Stopped,
                    _ => RunEnd::NotStarted,
                },
                took: Span(20 * MS),
                result: self.pool.copy(result.join(" ").as_bytes()).expect("fits"),
            },
            ["reject", rid] => Input::RunNotStarted(id(rid)),
            ["ask", n, rid, ref body @ ..] => Input::UpstreamCallRequested {
                notice: n.parse().expect("a number"),
                id: id(rid),
                body: self.pool.copy(body.join(" ").as_bytes()).expect("fits"),
            },
            ["mute"] => return self.muted = true,
            ["unmute"] => return self.muted = false,
            _ => panic!("not a line of the processor: {line}"),
        };
        self.processor_identity.message_read(Time(self.now_ms * MS));
        self.pending_inputs.push(input);
        self.settle();
    }

    fn terminate(&mut self) {
        self.pending_inputs.push(Input::ShutdownNotice);
        self.settle();
    }

    fn set_out_of_service(&mut self, out: bool) {
        self.pending_inputs.push(if out { Input::TakeOutOfService } else { Input::ReturnToService });
        self.settle();
    }

    fn reload(&mut self, how: &str) {
        let text = match how {
            "moved" => {
                let mut moved = self.config.clone();
                moved["processor"] = "127.0.0.1:8".into();
                moved["control"] = "127.0.0.1:9".into();
                if moved.get("ledger").is_some() {
                    moved["ledger"] = "127.0.0.1:7".into();
                }
                moved.to_string()
            }
            _ => changed_config(&self.config, how),
        };
        // As the server reads a file: one that cannot be parsed reaches the reducer as a rejection.
        self.pending_inputs.push(match Config::parse(&text) {
            Ok(config) => {
                self.reloading = true;
                Input::Reload(Box::new(self.names.compare(config)))
            }
            Err(why) => Input::ReloadRejected { reason: why.to_string() },
        });
        self.settle();
    }

    fn send_admin_request(&mut self, call: AdminRequest) {
        self.admin_requests += 1;
        self.pending_inputs.push(Input::AdminRequest { id: self.admin_requests, request: call });
        self.settle();
    }

    fn end_upstream_call(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let [rid, how, ref reply @ ..] = words[..] else {
            panic!("not an outcome of an upstream call: {line}")
        };
        let outcome = match how {
            "200" => Outcome::Success,
            "untouched" => Outcome::Rejected,
            "500" => Outcome::Failure,
            "504" => Outcome::TimedOut,
            "refused" => Outcome::ConnectFailed,
            "broken" => Outcome::Aborted,
            _ => panic!("not an outcome of an upstream call: {line}"),
        };
        let reply =
            (outcome == Outcome::Success).then(|| self.pool.copy(reply.join(" ").as_bytes()).expect("fits"));
        let id = RequestId::new(&format!("{:016x}", rid.parse::<u64>().expect("a number")));
        // Ends the oldest call of this request; without one, the end is reported anyway.
        let out = self.calls_out.iter().position(|(known, _)| *known == id);
        let number = out.map_or(0, |index| self.calls_out.remove(index).1);
        self.pending_inputs.push(Input::UpstreamCallEnded { id, call: number, outcome, reply });
        self.settle();
    }

    fn resolve_claim(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let [rid, whose, ref result @ ..] = words[..] else { panic!("not a claim: {line}") };
        let result = || self.pool.copy(result.join(" ").as_bytes()).expect("fits");
        let claim = match whose {
            "ours" => RunClaim::Ours,
            "full" => RunClaim::Unavailable,
            "unsure" => RunClaim::Unknown,
            "failed" => RunClaim::Ended(RunOutcome::Failed),
            "served" => RunClaim::Ended(RunOutcome::Served(Arc::new(result()))),
            _ => panic!("not a claim: {line}"),
        };
        let id = RequestId::new(&format!("{:016x}", rid.parse::<u64>().expect("a number")));
        self.pending_inputs.push(Input::RunClaimed { id, claim });
        self.settle();
    }

    fn resolve_lookup(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let [token, found, ref result @ ..] = words[..] else { panic!("not a look-up: {line}") };
        let result = || self.pool.copy(result.join(" ").as_bytes()).expect("fits");
        let run = match found {
            "none" => RecordedRun::None,
            "running" => RecordedRun::InProgress,
            "unsure" => RecordedRun::Unknown,
            "failed" => RecordedRun::Ended(RunOutcome::Failed),
            "served" => RecordedRun::Ended(RunOutcome::Served(Arc::new(result()))),
            _ => panic!("not a look-up: {line}"),
        };
        let index = self.lookups.iter().position(|(known, _)| **known == *token);
        let (_, lookup) = self.lookups.remove(index.expect("a look-up of the key"));
        self.pending_inputs.push(Input::RunLookedUp { lookup, run });
        self.settle();
    }

    fn open(&mut self, conn: &str) {
        self.conn(conn);
        self.settle();
    }

    fn close(&mut self, peer: &str) {
        let input =
            if peer == "processor" { Input::LinkDown } else { Input::ConnectionClosed(self.conn(peer)) };
        if peer == "processor" {
            self.connecting = Some(Time(self.now_ms * MS));
        } else {
            self.events.push(format!("{peer} closed"));
        }
        self.pending_inputs.push(input);
        self.settle();
    }

    fn mark_late(&mut self, conn: &str) {
        let conn = self.conn(conn);
        self.pending_inputs.push(Input::ConnectionLate(conn));
        self.settle();
    }

    fn half_close(&mut self, conn: &str) {
        let conn = self.conn(conn);
        self.pending_inputs.push(Input::ConnectionHalfClosed(conn));
        self.settle();
    }

    fn wait(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            let wake = self.reducer.wake_at().map_or(until, |at| at.0.div_ceil(MS));
            self.now_ms = wake.clamp(self.now_ms + 1, until);
            self.settle();
        }
    }

    fn unix_ms(&self) -> u64 {
        self.now_ms.saturating_add_signed(self.unix_offset_ms)
    }

    fn take_event(&mut self, words: &str) -> Result<String, Vec<String>> {
        let index = self.events.iter().position(|event| matches_words(event, words));
        index.map(|index| self.events.remove(index)).ok_or_else(|| self.events.clone())
    }

    fn pending_events(&mut self) -> Vec<String> {
        self.events.clone()
    }
}
