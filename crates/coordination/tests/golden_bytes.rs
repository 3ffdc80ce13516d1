//! Encoded bytes of the log, of its snapshots and of messages between servers, compared with golden files of an earlier
//! version: servers of both versions read what the other one wrote.

mod golden;

use golden::values::{self, name};
use golden::{assert_golden, assert_golden_text, assert_golden_values, cases, golden_file};
use gradepin_admission::Time;
use gradepin_coordination::consensus::{
    ConsensusVoter, DurableRecord, VoterEffect, VoterState, founding_records,
};
use gradepin_coordination::messages::{OperatorCommand, PermitReply};
use gradepin_coordination::replicated_snapshot;
use gradepin_coordination::replicated_state::Command;
use gradepin_coordination::rollout::RolloutCommand;

#[test]
fn encodes_every_log_command_as_golden_bytes() {
    assert_golden_values(golden_file!("commands.txt"), &values::commands());
    let commands =
        values::rollout_commands().into_iter().map(|(label, command)| (label, Command::Rollout(command)));
    assert_golden_values(golden_file!("release-commands.txt"), &commands.collect::<Vec<_>>());
}

#[test]
fn encodes_every_durable_record_as_golden_bytes() {
    assert_golden_values(golden_file!("durable-records.txt"), &values::durable_records());
}

#[test]
fn encodes_the_parts_of_the_replicated_state_as_golden_bytes() {
    assert_golden_values(golden_file!("steps.txt"), &values::server_progress());
    assert_golden_values(golden_file!("states.txt"), &values::rollout_states());
    assert_golden_values(golden_file!("targets.txt"), &values::targets());
    assert_golden_values(golden_file!("reasons.txt"), &values::denial_reasons());
    let rollouts = values::rollout_states().into_iter().map(|(label, state)| (label, values::rollout(state)));
    assert_golden_values(golden_file!("releases.txt"), &rollouts.collect::<Vec<_>>());
}

#[test]
fn encodes_a_snapshot_as_golden_bytes_and_decodes_it() {
    let state = values::replicated_state();
    assert_eq!(state.configuration.history().count(), 2);
    assert_golden(golden_file!("snapshot.txt"), &[("snapshot", replicated_snapshot::encode(&state))]);
    let stored = cases(golden_file!("snapshot.txt")).remove(0).1;
    assert_eq!(replicated_snapshot::decode(&stored), Some(state));
}

#[test]
fn encodes_the_founding_records_as_golden_bytes() {
    let records = founding_records(&[(7, name("n1")), (1 << 40, name("n2"))].into());
    assert_golden_values(golden_file!("founding.txt"), &[("founding", records)]);
}

#[test]
fn encodes_configuration_requests_and_replies_as_golden_bytes() {
    assert_golden_values(golden_file!("proposal-refusals.txt"), &values::configuration_rejections());
    assert_golden_values(golden_file!("voter-answers.txt"), &values::voter_replies());
    assert_golden_values(
        golden_file!("configuration-request.txt"),
        &[("request", values::configuration_request())],
    );
}

#[test]
fn encodes_operator_commands_and_denials_as_golden_bytes() {
    assert_golden_values(golden_file!("orders.txt"), &values::operator_commands());
    let commands = values::rollout_commands().into_iter();
    let commands = commands.map(|(label, command)| (label, OperatorCommand::Rollout(command)));
    assert_golden_values(golden_file!("release-orders.txt"), &commands.collect::<Vec<_>>());
    let replies =
        values::denial_reasons().into_iter().map(|(label, reason)| (label, PermitReply::Wait(reason)));
    assert_golden_values(golden_file!("waits.txt"), &replies.collect::<Vec<_>>());
    assert_golden_values(golden_file!("turn.txt"), &[("turn", values::step_assignment())]);
}

/// The admin endpoint receives operator commands as JSON.
#[test]
fn encodes_operator_commands_as_golden_json_and_decodes_them() {
    let json = |value: &OperatorCommand| serde_json::to_string(value).expect("commands can be encoded");
    let mut commands = values::operator_commands();
    let rollout_commands = values::rollout_commands().into_iter();
    commands.extend(rollout_commands.map(|(label, command)| (label, OperatorCommand::Rollout(command))));
    commands.extend(
        values::targets()
            .into_iter()
            .map(|(label, target)| (label, OperatorCommand::GrantPermit { target, operator: name("kaisa") })),
    );
    commands.extend(values::server_progress().into_iter().map(|(label, server_progress)| {
        let command =
            RolloutCommand::RecordProgress { number: 1, server: name("n1"), progress: server_progress };
        (label, OperatorCommand::Rollout(command))
    }));
    let text: String = commands.iter().map(|(_, command)| json(command) + "\n").collect();
    assert_golden_text(golden_file!("orders.jsonl"), &text);
    for ((label, command), line) in commands.iter().zip(text.lines()) {
        assert_eq!(serde_json::from_str::<OperatorCommand>(line).ok().as_ref(), Some(command), "{label}");
    }
}

/// Identity of the only voter.
const VOTER: u64 = 7;

/// The only voter of a group, with its disk. Writes are durable at once.
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

    /// Advances time by 100 ms at a time until a condition holds; panics if it doesn't within 50 s.
    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..500 {
            if condition(self) {
                return;
            }
            self.now.0 += 100_000_000;
            self.step();
        }
        panic!("the condition does not hold within 50 s of virtual time");
    }
}

/// Compares the records that a voter writes with a golden log, and starts a voter from that log.
#[test]
fn a_voter_writes_a_golden_log_and_starts_from_it() {
    let mut voter = Voter::start(Vec::new());
    voter.consensus.found(&[(VOTER, name("n1"))].into()).expect("the disk is empty");
    voter.run_until(|voter| voter.consensus.leader_term().is_some());
    let add_server = |server: &str| Command::AddServer { name: name(server), zone: name("z1") };
    let commands = values::commands().into_iter().map(|(_, command)| command);
    let later_commands = [
        add_server("n1"),
        add_server("n2"),
        values::configuration_command(1),
        values::configuration_command(2),
    ];
    let rollout_commands =
        values::rollout_commands().into_iter().map(|(_, command)| Command::Rollout(command));
    for (number, command) in (1..).zip(commands.chain(later_commands).chain(rollout_commands)) {
        voter.consensus.propose(number, command).expect("the voter leads");
        voter.run_until(|voter| voter.applied.contains(&number));
    }
    let labels: Vec<String> = (0..voter.disk.len()).map(|at| format!("record {at}")).collect();
    let records = labels.iter().map(String::as_str).zip(voter.disk.iter().cloned());
    assert_golden_values(golden_file!("log.txt"), &records.collect::<Vec<_>>());
    let state = replicated_snapshot::encode(voter.consensus.state());
    assert_golden(golden_file!("log-state.txt"), &[("state", state.clone())]);

    let stored = cases(golden_file!("log.txt")).into_iter();
    let stored = stored.map(|(_, bytes)| postcard::from_bytes(&bytes).expect("a durable record"));
    let mut restarted = Voter::start(stored.collect());
    let index = voter.consensus.state().index;
    restarted.run_until(|voter| voter.consensus.state().index >= index);
    // The restarted voter appends an empty entry when it becomes leader, which only changes the index.
    let mut restarted_state = restarted.consensus.state().clone();
    restarted_state.index = index;
    assert_eq!(replicated_snapshot::encode(&restarted_state), state);
}
