//! Experiment files in KDL: base settings, a grid of settings, and seeds.

use super::{BadPlan, Plan};
use gradepin_node::settings::kdl_text;
use kdl::{KdlDocument, KdlNode, KdlValue};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Maximum number of runs of an experiment, since grids grow quickly.
const MAX_RUNS: usize = 1_000_000;

/// Name and value of a setting, as in the file.
pub type Setting = (String, String);

/// An experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    base: Vec<Setting>,
    /// Varied settings with their values.
    pub grid: Vec<(String, Vec<String>)>,
    /// Seeds that each cell of the grid is run with.
    pub seeds: Vec<u64>,
}

/// Invalid experiment file.
#[derive(Debug, thiserror::Error)]
pub enum BadExperiment {
    /// The file is not valid KDL.
    #[error("expected KDL: {0}")]
    Kdl(String),
    /// A node is unexpected or incomplete.
    #[error("expected {expected}, got {got}")]
    Node {
        /// Expected node or value.
        expected: &'static str,
        /// Actual node or value.
        got: String,
    },
    /// A setting is invalid.
    #[error(transparent)]
    Plan(#[from] BadPlan),
    /// The experiment has too many runs.
    #[error("expected {MAX_RUNS} runs or fewer, got {0}")]
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
    /// Parses the text of an experiment file.
    pub fn parse(text: &str) -> Result<Self, BadExperiment> {
        let document = kdl_text::document(text).map_err(|problems| {
            let message: Vec<String> = problems.iter().map(ToString::to_string).collect();
            BadExperiment::Kdl(message.join("; "))
        })?;
        let invalid = |expected, got: &str| BadExperiment::Node { expected, got: format!("'{got}'") };
        let [node] = document.nodes() else {
            return Err(invalid("one node 'experiment'", &format!("{} nodes", document.nodes().len())));
        };
        if node.name().value() != "experiment" {
            return Err(invalid("one node 'experiment'", node.name().value()));
        }
        let name = values(node).into_iter().next().ok_or_else(|| invalid("the experiment's name", "none"))?;
        let mut experiment = Self { name, base: Vec::new(), grid: Vec::new(), seeds: Vec::new() };
        for section in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            let inner = section.children().map(KdlDocument::nodes).unwrap_or_default();
            match section.name().value() {
                "base" => {
                    for setting in inner {
                        let name = setting.name().value();
                        match &values(setting)[..] {
                            [value] => experiment.base.push((name.into(), value.clone())),
                            _ => return Err(invalid("a setting with one value in 'base'", name)),
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
                            return Err(invalid(
                                "a setting with values, none of them twice, in 'grid'",
                                name,
                            ));
                        }
                        experiment.grid.push((name.into(), values));
                    }
                }
                "seeds" => {
                    let number = |name: &str| {
                        section.get(name).and_then(KdlValue::as_integer).and_then(|n| u64::try_from(n).ok())
                    };
                    let count = values(section).first().and_then(|count| count.parse().ok());
                    let first = number("from").unwrap_or(1);
                    let count = count.filter(|count| (1..=100_000).contains(count));
                    let count: u64 =
                        count.ok_or_else(|| invalid("seeds COUNT, with from=FIRST if not 1", "seeds"))?;
                    experiment.seeds = (first..first.saturating_add(count)).collect();
                }
                other => return Err(invalid("base, grid or seeds", other)),
            }
        }
        if experiment.seeds.is_empty() {
            return Err(invalid("a node 'seeds'", "none"));
        }
        let runs = experiment.grid.iter().map(|(_, values)| values.len()).product::<usize>();
        let runs = runs.saturating_mul(experiment.seeds.len());
        if runs > MAX_RUNS {
            return Err(BadExperiment::Large(runs));
        }
        // Reports invalid settings before the first run.
        for cell in experiment.cells() {
            experiment.plan(&cell)?;
        }
        Ok(experiment)
    }

    /// All combinations of the grid's values; the last setting varies fastest.
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

    /// Plan of a cell: the base settings overridden by those of the cell.
    pub fn plan(&self, cell: &[Setting]) -> Result<Plan, BadPlan> {
        let mut plan = Plan::default();
        for (name, value) in self.base.iter().chain(cell) {
            plan.set(name, value)?;
        }
        Ok(plan)
    }

    /// Fingerprint of the base settings and the program version, to recognize results of another experiment.
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

    /// Guards against missing cells and wrong settings.
    #[test]
    fn experiment_file_is_parsed_into_cells_and_plans() {
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

    /// Guards against experiments that fail after an hour of runs, or run something other than written.
    #[test]
    fn invalid_files_are_rejected_before_the_first_run() {
        for (from, to, message) in [
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
            assert!(error.contains(message), "{to}: {error}");
        }
    }
}
