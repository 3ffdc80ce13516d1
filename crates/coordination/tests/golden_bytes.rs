//! The bytes of the log, of its snapshots and of messages between servers, as files of an earlier version have them: a server reads
//! what another version wrote, and writes what it can read.

mod golden;

use golden::values::{self, name};
use golden::{assert_golden, assert_golden_text, assert_golden_values, cases, golden_file};
use gradepin_admission::Time;
use gradepin_coordination::consensus::{ConsensusVoter, DurableRecord, VoterEffect, VoterState, founding};
use gradepin_coordination::messages::{OperatorCommand, PermitReply};
use gradepin_coordination::replicated_snapshot;
use gradepin_coordination::replicated_state::Command;
use gradepin_coordination::rollout::RolloutCommand;

#[test]
fn encodes_every_log_command_as_golden_bytes() {
    assert_golden_values(golden_file!("commands.txt"), &values::commands());
    let orders = values::release_orders().into_iter().map(|(label, order)| (label, Command::Rollout(order)));
    assert_golden_values(golden_file!("release-commands.txt"), &orders.collect::<Vec<_>>());
}

#[test]
fn encodes_every_durable_record_as_golden_bytes() {
    assert_golden_values(golden_file!("durable-records.txt"), &values::durables());
}

#[test]
fn encodes_the_parts_of_a_record_as_golden_bytes() {
    assert_golden_values(golden_file!("steps.txt"), &values::steps());
    assert_golden_values(golden_file!("states.txt"), &values::states());
    assert_golden_values(golden_file!("targets.txt"), &values::targets());
    assert_golden_values(golden_file!("reasons.txt"), &values::reasons());
    let releases = values::states().into_iter().map(|(label, state)| (label, values::release(state)));
    assert_golden_values(golden_file!("releases.txt"), &releases.collect::<Vec<_>>());
}

#[test]
fn encodes_a_snapshot_of_a_full_record_as_golden_bytes_and_reads_it() {
    let record = values::record();
    assert_eq!(record.configuration.history().count(), 2);
    assert_golden(golden_file!("snapshot.txt"), &[("snapshot", replicated_snapshot::encode(&record))]);
    let stored = cases(golden_file!("snapshot.txt")).remove(0).1;
    assert_eq!(replicated_snapshot::decode(&stored), Some(record));
}

#[test]
fn encodes_the_founding_as_golden_bytes() {
    let records = founding(&[(7, name("n1")), (1 << 40, name("n2"))].into());
    assert_golden_values(golden_file!("founding.txt"), &[("founding", records)]);
}

#[test]
fn encodes_answers_about_the_configuration_as_golden_bytes() {
    assert_golden_values(golden_file!("proposal-refusals.txt"), &values::refusals());
    assert_golden_values(golden_file!("voter-answers.txt"), &values::voter_answers());
    assert_golden_values(golden_file!("configuration-request.txt"), &[("request", values::request())]);
}

#[test]
fn encodes_orders_and_reasons_to_wait_as_golden_bytes() {
    assert_golden_values(golden_file!("orders.txt"), &values::orders());
    let orders = values::release_orders().into_iter();
    let orders = orders.map(|(label, order)| (label, OperatorCommand::Rollout(order)));
    assert_golden_values(golden_file!("release-orders.txt"), &orders.collect::<Vec<_>>());
    let waits = values::reasons().into_iter().map(|(label, why)| (label, PermitReply::Wait(why)));
    assert_golden_values(golden_file!("waits.txt"), &waits.collect::<Vec<_>>());
    assert_golden_values(golden_file!("turn.txt"), &[("turn", values::turn())]);
}

/// Operators' orders go to the admin endpoint as JSON.
#[test]
fn writes_orders_as_golden_json_and_reads_them() {
    let json = |value: &OperatorCommand| serde_json::to_string(value).expect("it is encoded");
    let mut orders = values::orders();
    let releases = values::release_orders().into_iter();
    orders.extend(releases.map(|(label, order)| (label, OperatorCommand::Rollout(order))));
    orders.extend(
        values::targets()
            .into_iter()
            .map(|(label, target)| (label, OperatorCommand::GrantPermit { target, operator: name("kaisa") })),
    );
    orders.extend(values::steps().into_iter().map(|(label, step)| {
        let order = RolloutCommand::RecordProgress { number: 1, server: name("n1"), progress: step };
        (label, OperatorCommand::Rollout(order))
    }));
    let text: String = orders.iter().map(|(_, order)| json(order) + "\n").collect();
    assert_golden_text(golden_file!("orders.jsonl"), &text);
    for ((label, order), line) in orders.iter().zip(text.lines()) {
        assert_eq!(serde_json::from_str::<OperatorCommand>(line).ok().as_ref(), Some(order), "{label}");
    }
}

const VOTER: u64 = 7;

/// A voter alone, with its disk: writes are durable at once.
struct Voter {
    consensus: ConsensusVoter,
    now: Time,
    disk: Vec<DurableRecord>,
    applied: Vec<u64>,
}

impl Voter {
    fn start(disk: Vec<DurableRecord>) -> Self {
        let consensus = ConsensusVoter::new(VoterState { id: VOTER, records: disk.clone() }, 1, Time(0));
        Self { consensus, now: Time(0), disk, applied: Vec::new() }
    }

    fn step(&mut self) {
        let mut effects = Vec::new();
        self.consensus.step(self.now, &mut effects);
        for effect in effects {
            match effect {
                VoterEffect::Write { number, records } => {
                    self.disk.extend(records);
                    self.consensus.write_completed(number);
                }
                VoterEffect::Applied { number, .. } => self.applied.push(number),
                _ => {}
            }
        }
    }

    /// In turns of 100 ms, as long as needed.
    fn until(&mut self, what: impl Fn(&Self) -> bool) {
        for _ in 0..500 {
            if what(self) {
                return;
            }
            self.now.0 += 100_000_000;
            self.step();
        }
        panic!("not in 50 s of its time");
    }
}

/// The log as a voter writes it, and a voter that starts from one that was written earlier.
#[test]
fn a_voter_writes_a_golden_log_and_starts_from_it() {
    let mut voter = Voter::start(Vec::new());
    voter.consensus.found(&[(VOTER, name("n1"))].into()).expect("a new folder");
    voter.until(|voter| voter.consensus.leader_term().is_some());
    let enrol = |server: &str| Command::AddServer { name: name(server), zone: name("z1") };
    let commands = values::commands().into_iter().map(|(_, command)| command);
    let more = [enrol("n1"), enrol("n2"), values::configuration_command(1), values::configuration_command(2)];
    let releases = values::release_orders().into_iter().map(|(_, order)| Command::Rollout(order));
    for (number, command) in (1..).zip(commands.chain(more).chain(releases)) {
        voter.consensus.propose(number, command).expect("it leads");
        voter.until(|voter| voter.applied.contains(&number));
    }
    let labels: Vec<String> = (0..voter.disk.len()).map(|at| format!("record {at}")).collect();
    let records = labels.iter().map(String::as_str).zip(voter.disk.iter().cloned());
    assert_golden_values(golden_file!("log.txt"), &records.collect::<Vec<_>>());
    let state = replicated_snapshot::encode(voter.consensus.state());
    assert_golden(golden_file!("log-state.txt"), &[("state", state.clone())]);

    let stored = cases(golden_file!("log.txt")).into_iter();
    let stored = stored.map(|(_, bytes)| postcard::from_bytes(&bytes).expect("a record"));
    let mut again = Voter::start(stored.collect());
    let index = voter.consensus.state().index;
    again.until(|again| again.consensus.state().index >= index);
    // Its own first entry as a leader comes behind the log.
    let mut record = again.consensus.state().clone();
    record.index = index;
    assert_eq!(replicated_snapshot::encode(&record), state);
}
