//! `gradepin fleet` and `gradepin release`: what the fleet agrees on, asked and ordered at any server's door.

use crate::admin_client;
use clap::{Args, Subcommand};
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::replicated_state::{Name, Target};
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutCommand, RolloutPlan};
use gradepin_node::settings::kdl_text;
use kdl::{KdlDocument, KdlNode};
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Where, and who says so.
#[derive(Debug, Args)]
pub struct At {
    /// The operators' door of a server
    #[arg(long, value_name = "IP:PORT")]
    door: SocketAddr,
    /// Who says so, for the record; without it the name that the environment has
    #[arg(long)]
    by: Option<String>,
}

impl At {
    fn by(&self) -> Name {
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        Arc::from(self.by.clone().or_else(user).unwrap_or_else(|| "somebody".into()))
    }
}

/// What is asked or ordered of the fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Who is out and why, permits, release, council, and what this server can't see
    Status {
        /// The operators' door of a server
        #[arg(long, value_name = "IP:PORT")]
        door: SocketAddr,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Found the council, once, at one of the voters: all are to be there, each with an empty folder
    Found {
        #[command(flatten)]
        at: At,
    },
    /// Have the server of this door ask for a permit and leave by it
    Leave {
        #[command(flatten)]
        at: At,
    },
    /// Take that back, or end its permit
    Stay {
        #[command(flatten)]
        at: At,
    },
    /// A permit for a whole zone or a member of a service: `zone NAME` or `service GROUP/MEMBER`
    Out {
        #[command(flatten)]
        at: At,
        #[command(subcommand)]
        what: What,
    },
    /// Such a permit is over
    In {
        #[command(flatten)]
        at: At,
        #[command(subcommand)]
        what: What,
    },
    /// Free a permit whose holder won't come back
    Free {
        #[command(flatten)]
        at: At,
        /// The permit's epoch
        epoch: u64,
        /// Why
        #[arg(long)]
        why: String,
    },
    /// Take a server that won't come back out of the roster
    Strike {
        #[command(flatten)]
        at: At,
        /// Its name
        name: String,
        /// Why
        #[arg(long)]
        why: String,
    },
    /// Make a server a voter, by the folder that it reports: after a disk was lost, before its old identity is taken out
    Voter {
        #[command(flatten)]
        at: At,
        /// Its name
        name: String,
        /// Take it out instead
        #[arg(long)]
        out: bool,
    },
}

/// What is out.
#[derive(Debug, Subcommand)]
pub enum What {
    /// All servers of a zone
    Zone {
        /// Its name
        name: String,
    },
    /// A member of a service below
    Service {
        /// GROUP/MEMBER
        name: String,
    },
}

impl What {
    fn target(&self) -> Result<Target> {
        match self {
            Self::Zone { name } => Ok(Target::Zone(Arc::from(name.as_str()))),
            Self::Service { name } => {
                let (group, member) = name.split_once('/').ok_or("expected GROUP/MEMBER, as in ledger/a")?;
                Ok(Target::Service { group: Arc::from(group), member: Arc::from(member) })
            }
        }
    }
}

/// What is ordered about a release.
#[derive(Debug, Subcommand)]
pub enum ReleaseCommand {
    /// Read a plan and say what it would do
    Plan {
        /// The plan
        file: PathBuf,
    },
    /// Stage settings on a server: checked as a whole there, and put in force in its turn
    Stage {
        /// The operators' door of that server
        #[arg(long, value_name = "IP:PORT")]
        door: SocketAddr,
        /// The configuration
        file: PathBuf,
    },
    /// Begin it
    Start {
        #[command(flatten)]
        at: At,
        /// The plan
        file: PathBuf,
    },
    /// How far it is
    Status {
        /// The operators' door of a server
        #[arg(long, value_name = "IP:PORT")]
        door: SocketAddr,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// No further step, from now on, agreed or not
    Halt {
        #[command(flatten)]
        at: At,
        /// The release's name
        name: String,
        /// Why
        #[arg(long, default_value = "by hand")]
        why: String,
    },
    /// Go on after a halt; the one that the status shows now
    Resume {
        #[command(flatten)]
        at: At,
        /// The release's name
        name: String,
    },
    /// Go back, in the reverse order and under the same limits
    Back {
        #[command(flatten)]
        at: At,
        /// The release's name
        name: String,
        /// Why
        #[arg(long, default_value = "by hand")]
        why: String,
    },
}

fn status(door: SocketAddr) -> Result<Value> {
    Ok(serde_json::from_str(&admin_client::call(door, "GET", "/fleet/status", "")?.taken()?)?)
}

/// Does what is asked of the fleet.
pub fn fleet(command: FleetCommand) -> Result<bool> {
    let text = match command {
        FleetCommand::Status { door, json } => {
            let status = status(door)?;
            if json { status.to_string() } else { table(&status) }
        }
        FleetCommand::Found { at } => admin_client::call(at.door, "POST", "/fleet/found", "")?.taken()?,
        FleetCommand::Leave { at } => admin_client::call(at.door, "POST", "/fleet/leave", "")?.taken()?,
        FleetCommand::Stay { at } => admin_client::call(at.door, "POST", "/fleet/stay", "")?.taken()?,
        FleetCommand::Out { at, what } => admin_client::order(
            at.door,
            &OperatorCommand::GrantPermit { target: what.target()?, operator: at.by() },
        )?,
        FleetCommand::In { at, what } => admin_client::order(
            at.door,
            &OperatorCommand::EndPermit { target: what.target()?, operator: at.by() },
        )?,
        FleetCommand::Free { at, epoch, why } => admin_client::order(
            at.door,
            &OperatorCommand::ReleasePermit { epoch, operator: at.by(), reason: why },
        )?,
        FleetCommand::Strike { at, name, why } => admin_client::order(
            at.door,
            &OperatorCommand::RemoveServer { name: Arc::from(name), operator: at.by(), reason: why },
        )?,
        FleetCommand::Voter { at, name, out } => admin_client::order(
            at.door,
            &OperatorCommand::ChangeVoter { name: Arc::from(name), add: !out, operator: at.by() },
        )?,
    };
    println!("{text}");
    Ok(true)
}

/// Does what is ordered about a release.
pub fn release(command: ReleaseCommand) -> Result<bool> {
    let text = match command {
        ReleaseCommand::Plan { file } => told(&plan(&file)?),
        ReleaseCommand::Stage { door, file } => {
            admin_client::call(door, "POST", "/fleet/stage", &read(&file)?)?.taken()?
        }
        ReleaseCommand::Start { at, file } => admin_client::order(
            at.door,
            &OperatorCommand::StartRollout { plan: Box::new(plan(&file)?), operator: at.by() },
        )?,
        ReleaseCommand::Status { door, json } => {
            let status = status(door)?;
            if json { status["release"].to_string() } else { table(&status) }
        }
        ReleaseCommand::Halt { at, name, why } => admin_client::order(
            at.door,
            &OperatorCommand::Rollout(RolloutCommand::Halt { name, operator: at.by(), reason: why }),
        )?,
        ReleaseCommand::Resume { at, name } => {
            let status = status(at.door)?;
            let halts = status["release"]["halts"].as_u64().ok_or("there is no release")? as u32;
            admin_client::order(
                at.door,
                &OperatorCommand::Rollout(RolloutCommand::Resume {
                    name,
                    halt_count: halts,
                    operator: at.by(),
                }),
            )?
        }
        ReleaseCommand::Back { at, name, why } => admin_client::order(
            at.door,
            &OperatorCommand::Rollout(RolloutCommand::RollBack { name, operator: at.by(), reason: why }),
        )?,
    };
    println!("{text}");
    Ok(true)
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()).into())
}

/// Reads a plan.
fn plan(path: &Path) -> Result<RolloutPlan> {
    let plan = parse(&read(path)?).map_err(|why| format!("{}: {why}", path.display()))?;
    plan.check().map_err(|why| format!("{}: {why}", path.display()))?;
    Ok(plan)
}

/// Reads the text of a plan: a node `release` with a name, and in it `program` or `settings` with the version, a `wave` for each
/// wave, and what else differs from the usual.
fn parse(text: &str) -> Result<RolloutPlan> {
    let document = kdl_text::document(text)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))?;
    let [node] = document.nodes() else { return Err("expected one release".into()) };
    if node.name().value() != "release" {
        return Err(format!("expected a release, got {}", node.name().value()).into());
    }
    let mut plan = RolloutPlan {
        name: word(node)?,
        kind: ReleaseKind::Program,
        version: String::new(),
        batches: Vec::new(),
        zone_by_zone: false,
        ready_timeout_ms: 60_000,
        stabilization_ms: 3_000,
        tolerated_regression: 0.02,
        rolls_back: true,
    };
    for node in node.children().map(KdlDocument::nodes).unwrap_or_default() {
        match node.name().value() {
            kind @ ("program" | "settings") => {
                if !plan.version.is_empty() {
                    return Err("expected one program or one settings".into());
                }
                plan.kind = if kind == "program" { ReleaseKind::Program } else { ReleaseKind::Settings };
                plan.version = word(node)?;
            }
            "wave" => {
                let pause_ms = match node.get("pause-ms") {
                    None => 10_000,
                    Some(value) => whole(value.as_integer(), "pause-ms")?,
                };
                plan.batches.push(Batch { share: number(node)?, pause_ms });
            }
            "zone-by-zone" => plan.zone_by_zone = truth(node)?,
            "goes-back" => plan.rolls_back = truth(node)?,
            "ready-ms" => {
                plan.ready_timeout_ms = whole(node.get(0).and_then(|value| value.as_integer()), "ready-ms")?
            }
            "steady-ms" => {
                plan.stabilization_ms = whole(node.get(0).and_then(|value| value.as_integer()), "steady-ms")?
            }
            "worse" => plan.tolerated_regression = number(node)?,
            other => return Err(format!("an unknown node '{other}'").into()),
        }
    }
    Ok(plan)
}

fn word(node: &KdlNode) -> Result<String> {
    let value = node.get(0).and_then(|value| value.as_string()).filter(|text| !text.is_empty());
    Ok(value.ok_or_else(|| format!("expected {} to have one word", node.name().value()))?.to_string())
}

fn number(node: &KdlNode) -> Result<f64> {
    let value = node.get(0);
    let number = value.and_then(|value| value.as_float().or(value.as_integer().map(|whole| whole as f64)));
    Ok(number.ok_or_else(|| format!("expected {} to have one number", node.name().value()))?)
}

fn whole(value: Option<i128>, name: &str) -> Result<u64> {
    let whole = value.and_then(|value| u64::try_from(value).ok());
    Ok(whole.ok_or_else(|| format!("expected {name} to be a whole number"))?)
}

fn truth(node: &KdlNode) -> Result<bool> {
    let value = node.get(0).and_then(|value| value.as_bool());
    Ok(value.ok_or_else(|| format!("expected {} to be #true or #false", node.name().value()))?)
}

fn told(plan: &RolloutPlan) -> String {
    let what = if plan.kind == ReleaseKind::Program { "program" } else { "settings" };
    let mut text = format!("{}: {what} {}", plan.name, plan.version);
    for (n, wave) in plan.batches.iter().enumerate() {
        let upto = if wave.share > 0.0 {
            format!("up to {:.0}% of the servers", 100.0 * wave.share)
        } else {
            "one server".into()
        };
        text += &format!("\n  wave {n}: {upto}, then {:.1} s of looking", wave.pause_ms as f64 / 1e3);
    }
    let back = if plan.rolls_back { "goes back by itself" } else { "stands still" };
    text + &format!(
        "\n  a server may take {:.1} s to be ready and has to be so for {:.1} s; service worse by more than {:.0}%, and by more than \
         noise, halts it, and it {back}",
        plan.ready_timeout_ms as f64 / 1e3,
        plan.stabilization_ms as f64 / 1e3,
        100.0 * plan.tolerated_regression
    )
}

/// One table: servers, permits, release, council, and how old all of it is.
fn table(status: &Value) -> String {
    let text = |value: &Value| match value {
        Value::Null => "-".to_string(),
        Value::String(text) if text.is_empty() => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let mut lines = Vec::new();
    let age = match status["age_s"].as_f64() {
        Some(age) => format!("{age:.1} s old"),
        None if status["servers"].is_null() => "never heard".into(),
        None => "of unknown age: no leader was heard".into(),
    };
    let voter = if status["voter"] == true { "a voter's" } else { "a copy of a voter's" };
    lines.push(format!("council: led by {}, this view is {voter}, {age}", text(&status["leader"])));
    if let Some(lost) = status["lost"].as_str() {
        lines.push(format!("this server is out of the council until it is replaced: {lost}"));
    }
    if let Some(why) = status["waits"]["why"].as_str() {
        lines.push(format!(
            "this server waits for {:.1} s: {why}",
            status["waits"]["for_s"].as_f64().unwrap_or(0.0)
        ));
    }
    lines.push(format!(
        "{:<16} {:<10} {:<8} {:<8} {:<18} {:<18} step",
        "server", "zone", "ready", "permit", "program", "settings"
    ));
    for server in status["servers"].as_array().into_iter().flatten() {
        let ready = match server["ready"].as_bool() {
            Some(true) => "yes",
            Some(false) => "no",
            None => "?",
        };
        lines.push(format!(
            "{:<16} {:<10} {ready:<8} {:<8} {:<18} {:<18} {}",
            text(&server["name"]),
            text(&server["zone"]),
            text(&server["permit"]),
            text(&server["program"]),
            text(&server["settings"]),
            text(&server["step"])
        ));
    }
    let limits = &status["limits"];
    lines.push(format!(
        "may be out: {} of the fleet, {} of a zone, {} whole zones; services {}",
        text(&limits["fleet"]),
        text(&limits["zone"]),
        text(&limits["zones"]),
        text(&limits["services"])
    ));
    for permit in status["permits"].as_array().into_iter().flatten() {
        lines.push(format!(
            "permit {} of {} for {}: {}, {}",
            text(&permit["epoch"]),
            text(&permit["holder"]),
            text(&permit["target"]),
            text(&permit["for"]),
            text(&permit["stage"])
        ));
    }
    let release = &status["release"];
    if !release.is_null() {
        lines.push(format!(
            "release {} to {}: {}, wave {} of {}",
            text(&release["name"]),
            text(&release["version"]),
            text(&release["state"]),
            release["wave"].as_u64().unwrap_or(0) + 1,
            text(&release["waves"])
        ));
    }
    for act in status["acts"].as_array().into_iter().flatten() {
        let why = act["why"]
            .as_str()
            .filter(|why| !why.is_empty())
            .map(|why| format!(" ({why})"))
            .unwrap_or_default();
        lines.push(format!("{}: {}{why}", text(&act["by"]), text(&act["what"])));
    }
    lines.join("\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plan_is_read_and_one_that_makes_no_sense_says_why() {
        let text = include_str!("../../../deploy/release.kdl");
        let plan = parse(text).unwrap();
        assert_eq!((plan.check(), plan.kind, plan.batches.len()), (Ok(()), ReleaseKind::Program, 3));
        assert!(told(&plan).contains("wave 0: one server"));
        for (text, expected) in [
            ("", "expected one release"),
            ("release {\n}", "expected release to have one word"),
            ("release \"a\" {\nprogram \"b\"\nsettings \"c\"\n}", "expected one program or one settings"),
            ("release \"a\" {\nwave \"all\"\n}", "expected wave to have one number"),
            ("release \"a\" {\nwaves 3\n}", "an unknown node 'waves'"),
            ("release \"a\" {\nwave 1 pause-ms=-1\n}", "expected pause-ms to be a whole number"),
        ] {
            assert_eq!(parse(text).unwrap_err().to_string(), expected);
        }
    }
}

#[cfg(test)]
mod golden_tests;
