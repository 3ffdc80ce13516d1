//! What is tried, as a KDL file says it: a base, a grid of settings, seeds.

use super::{BadPlan, Plan};
use gradepin_node::settings::kdl_text;
use kdl::{KdlDocument, KdlNode, KdlValue};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Runs of one experiment at the most: a grid grows quickly.
const MOST_RUNS: usize = 1_000_000;

/// A setting and its value, as they stand in the file.
pub type Setting = (String, String);

/// An experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    base: Vec<Setting>,
    /// What is varied: a setting and its values.
    pub grid: Vec<(String, Vec<String>)>,
    /// The seeds, each played in every cell.
    pub seeds: Vec<u64>,
}

/// Why a file is no experiment.
#[derive(Debug, thiserror::Error)]
pub enum BadExperiment {
    /// It is no KDL.
    #[error("expected KDL: {0}")]
    Kdl(String),
    /// A node where none is expected, or without what it needs.
    #[error("expected {expected}, got {got}")]
    Node {
        /// What was expected.
        expected: &'static str,
        /// What there is.
        got: String,
    },
    /// A setting that can't be so.
    #[error(transparent)]
    Plan(#[from] BadPlan),
    /// It would take too long.
    #[error("expected {MOST_RUNS} runs or fewer, got {0}")]
    Large(usize),
}

fn value(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => text.clone(),
        KdlValue::Integer(number) => number.to_string(),
        KdlValue::Float(number) => number.to_string(),
        other => other.to_string(),
    }
}

fn values(node: &KdlNode) -> Vec<String> {
    node.entries().iter().filter(|entry| entry.name().is_none()).map(|entry| value(entry.value())).collect()
}

impl Experiment {
    /// Reads a file's text.
    pub fn parse(text: &str) -> Result<Self, BadExperiment> {
        let document = kdl_text::document(text).map_err(|problems| {
            let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
            BadExperiment::Kdl(told.join("; "))
        })?;
        let odd = |expected, got: &str| BadExperiment::Node { expected, got: format!("'{got}'") };
        let [node] = document.nodes() else {
            return Err(odd("one node 'experiment'", &format!("{} nodes", document.nodes().len())));
        };
        if node.name().value() != "experiment" {
            return Err(odd("one node 'experiment'", node.name().value()));
        }
        let name = values(node).into_iter().next().ok_or_else(|| odd("the experiment's name", "none"))?;
        let mut experiment = Self { name, base: Vec::new(), grid: Vec::new(), seeds: Vec::new() };
        for part in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            let inner = part.children().map(KdlDocument::nodes).unwrap_or_default();
            match part.name().value() {
                "base" => {
                    for setting in inner {
                        let name = setting.name().value();
                        match &values(setting)[..] {
                            [value] => experiment.base.push((name.into(), value.clone())),
                            _ => return Err(odd("a setting with one value in 'base'", name)),
                        }
                    }
                }
                "grid" => {
                    for setting in inner {
                        let (name, values) = (setting.name().value(), values(setting));
                        let mut sorted = values.clone();
                        sorted.sort();
                        sorted.dedup();
                        if values.is_empty() || sorted.len() < values.len() {
                            return Err(odd("a setting with values, none of them twice, in 'grid'", name));
                        }
                        experiment.grid.push((name.into(), values));
                    }
                }
                "seeds" => {
                    let number = |name: &str| {
                        part.get(name).and_then(KdlValue::as_integer).and_then(|n| u64::try_from(n).ok())
                    };
                    let count = values(part).first().and_then(|count| count.parse().ok());
                    let first = number("from").unwrap_or(1);
                    let count = count.filter(|count| (1..=100_000).contains(count));
                    let count: u64 =
                        count.ok_or_else(|| odd("seeds COUNT, with from=FIRST if not 1", "seeds"))?;
                    experiment.seeds = (first..first.saturating_add(count)).collect();
                }
                other => return Err(odd("base, grid or seeds", other)),
            }
        }
        if experiment.seeds.is_empty() {
            return Err(odd("a node 'seeds'", "none"));
        }
        let runs = experiment.grid.iter().map(|(_, values)| values.len()).product::<usize>();
        let runs = runs.saturating_mul(experiment.seeds.len());
        if runs > MOST_RUNS {
            return Err(BadExperiment::Large(runs));
        }
        // Whatever is wrong is told before the first run.
        for cell in experiment.cells() {
            experiment.plan(&cell)?;
        }
        Ok(experiment)
    }

    /// All combinations of the grid's values, the last setting the quickest to change.
    pub fn cells(&self) -> Vec<Vec<Setting>> {
        let mut cells = vec![Vec::new()];
        for (name, values) in &self.grid {
            cells = cells
                .into_iter()
                .flat_map(|cell: Vec<Setting>| {
                    values.iter().map(move |value| {
                        let mut longer = cell.clone();
                        longer.push((name.clone(), value.clone()));
                        longer
                    })
                })
                .collect();
        }
        cells
    }

    /// What is played in a cell.
    pub fn plan(&self, cell: &[Setting]) -> Result<Plan, BadPlan> {
        let mut plan = Plan::default();
        for (name, value) in self.base.iter().chain(cell) {
            plan.set(name, value)?;
        }
        Ok(plan)
    }

    /// Names what every run has in common, so that results of another experiment are not taken for its own.
    pub fn print(&self) -> String {
        let mut hasher = SipHasher13::new();
        for (name, value) in &self.base {
            for text in [name, value] {
                hasher.write(text.as_bytes());
                hasher.write_u8(0);
            }
        }
        hasher.write(env!("CARGO_PKG_VERSION").as_bytes());
        format!("{:016x}", hasher.finish())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = r#"experiment "try" {
        base { seconds 10; troubles "none"; }
        grid { policy "gradepin" "pool"; load 0.6 1.1 3; }
        seeds 4 from=7
    }"#;

    /// Guards against a grid with holes, and settings that come from nowhere.
    #[test]
    fn a_file_says_what_is_tried() {
        let experiment = Experiment::parse(TEXT).unwrap();
        assert_eq!((experiment.name.as_str(), &experiment.seeds[..]), ("try", &[7, 8, 9, 10][..]));
        let cells = experiment.cells();
        assert_eq!(cells.len(), 6);
        assert_eq!(cells[1], [("policy".into(), "gradepin".into()), ("load".into(), "1.1".into())]);
        let plan = experiment.plan(&cells[5]).unwrap();
        assert_eq!((plan.policy.name(), plan.ranges.draw(7).load), ("pool", 3.0));
        assert_eq!(plan.ranges.draw(7).seconds, 10.0);
        let other = Experiment::parse(&TEXT.replace("seconds 10", "seconds 11")).unwrap();
        assert_ne!(experiment.print(), other.print());
    }

    /// Guards against an experiment that fails after an hour of runs, or plays something else than was written.
    #[test]
    fn what_makes_no_sense_is_told_before_the_first_run() {
        for (from, to, told) in [
            ("experiment", "test", "one node 'experiment'"),
            ("\"try\"", "", "the experiment's name"),
            ("seconds 10", "seconds 10 11", "one value"),
            ("seconds 10", "second 10", "setting 'second'"),
            ("load 0.6 1.1 3", "load 0.6 0.6", "none of them twice"),
            ("load 0.6 1.1 3", "load 0.6 \"much\"", "got 'much'"),
            ("\"pool\"", "\"lake\"", "got 'lake'"),
            ("seeds 4 from=7", "seeds 0", "seeds COUNT"),
            ("seeds 4 from=7", "", "a node 'seeds'"),
            ("grid {", "grit {", "base, grid or seeds"),
            ("grid {", "grid {{", "KDL"),
        ] {
            let error = Experiment::parse(&TEXT.replace(from, to)).unwrap_err().to_string();
            assert!(error.contains(told), "{to}: {error}");
        }
    }
}
