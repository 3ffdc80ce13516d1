//! Release plans: parsing from KDL, and a description for a terminal.

use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutPlan};
use gradepin_node::settings::kdl_text;
use kdl::{KdlDocument, KdlNode};
use std::error::Error;
use std::path::Path;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Reads and validates a plan.
pub(super) fn load(path: &Path) -> Result<RolloutPlan> {
    let plan = parse(&super::read(path)?).map_err(|why| format!("{}: {why}", path.display()))?;
    plan.check().map_err(|why| format!("{}: {why}", path.display()))?;
    Ok(plan)
}

/// Parses a plan: one node `release` with a name. Its children are `program` or `settings` with the version, one
/// `wave` per batch, and overrides of the defaults.
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
                    Some(value) => whole_number(value.as_integer(), "pause-ms")?,
                };
                plan.batches.push(Batch { share: number(node)?, pause_ms });
            }
            "zone-by-zone" => plan.zone_by_zone = boolean(node)?,
            "goes-back" => plan.rolls_back = boolean(node)?,
            "ready-ms" => {
                plan.ready_timeout_ms =
                    whole_number(node.get(0).and_then(|value| value.as_integer()), "ready-ms")?;
            }
            "steady-ms" => {
                plan.stabilization_ms =
                    whole_number(node.get(0).and_then(|value| value.as_integer()), "steady-ms")?;
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
    let number =
        value.and_then(|value| value.as_float().or(value.as_integer().map(|integer| integer as f64)));
    Ok(number.ok_or_else(|| format!("expected {} to have one number", node.name().value()))?)
}

fn whole_number(value: Option<i128>, name: &str) -> Result<u64> {
    let number = value.and_then(|value| u64::try_from(value).ok());
    Ok(number.ok_or_else(|| format!("expected {name} to be a whole number"))?)
}

fn boolean(node: &KdlNode) -> Result<bool> {
    let value = node.get(0).and_then(|value| value.as_bool());
    Ok(value.ok_or_else(|| format!("expected {} to be #true or #false", node.name().value()))?)
}

/// Describes the effect of a plan for a terminal.
pub(super) fn describe(plan: &RolloutPlan) -> String {
    let kind = if plan.kind == ReleaseKind::Program { "program" } else { "settings" };
    let mut text = format!("{}: {kind} {}", plan.name, plan.version);
    for (number, batch) in plan.batches.iter().enumerate() {
        let reach = if batch.share > 0.0 {
            format!("up to {:.0}% of the servers", 100.0 * batch.share)
        } else {
            "one server".into()
        };
        text +=
            &format!("\n  wave {number}: {reach}, then {:.1} s of observation", batch.pause_ms as f64 / 1e3);
    }
    let reaction = if plan.rolls_back { "rolls back automatically" } else { "stays halted" };
    text + &format!(
        "\n  a server must become ready within {:.1} s and stay ready for {:.1} s; a regression of more than {:.0}% that \
         exceeds noise halts the release, and it {reaction}",
        plan.ready_timeout_ms as f64 / 1e3,
        plan.stabilization_ms as f64 / 1e3,
        100.0 * plan.tolerated_regression
    )
}

#[cfg(test)]
mod tests;
