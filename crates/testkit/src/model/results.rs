//! Parallel runs and their results. Each run appends a JSON line when it ends, so that an interrupted sweep can resume; a CSV
//! file is written at the end.

use super::experiment::{Experiment, Setting};
use super::stats::Estimate;
use crossbeam_channel::unbounded;
use gradepin_model::world::Outcome;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Result of a run. The fields are stored in the results file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Fingerprint of the experiment.
    pub print: String,
    /// Settings of the cell, in the order of the grid.
    pub cell: Vec<Setting>,
    /// Random seed of the run.
    pub seed: u64,
    /// Overall score.
    pub g: f64,
    /// Components of the score: whole day, worst window, worst class, worst tenant.
    pub parts: [f64; 4],
    /// Fractions of late requests and of wasted work.
    pub prices: [f64; 2],
    /// Number of rule violations.
    pub broken: u64,
    /// Requests.
    pub asked: u64,
    /// All attempts.
    pub tries: u64,
    /// Requests served.
    pub served: u64,
    /// Attempts rejected by servers.
    pub refused: u64,
    /// Simulated events.
    pub events: u64,
}

impl Line {
    /// Summarizes a simulated day.
    pub fn new(print: &str, cell: &[Setting], outcome: &Outcome) -> Self {
        let report = &outcome.report;
        let total = &outcome.total;
        Self {
            print: print.to_string(),
            cell: cell.to_vec(),
            seed: outcome.seed,
            g: report.score,
            parts: report.parts(),
            prices: report.deduction_rates,
            broken: outcome.violations.len() as u64,
            asked: total.asked,
            tries: total.tries,
            served: total.served,
            refused: total.refused,
            events: outcome.events,
        }
    }

    /// Value of a setting of the cell.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.cell.iter().find(|(setting, _)| setting == name).map(|(_, value)| value.as_str())
    }

    /// Value of a figure by name, as in [`FIGURES`].
    pub fn figure(&self, name: &str) -> Option<f64> {
        Some(match name {
            "g" => self.g,
            "whole" => self.parts[0],
            "worst_window" => self.parts[1],
            "worst_class" => self.parts[2],
            "worst_office" => self.parts[3],
            "late" => self.prices[0],
            "wasted" => self.prices[1],
            "broken" => self.broken as f64,
            "tries" => self.tries as f64 / self.asked.max(1) as f64,
            "served" => self.served as f64 / self.asked.max(1) as f64,
            _ => return None,
        })
    }
}

/// Names of the figures of a result.
pub const FIGURES: [&str; 10] = [
    "g",
    "whole",
    "worst_window",
    "worst_class",
    "worst_office",
    "late",
    "wasted",
    "broken",
    "tries",
    "served",
];

/// Reads results; an incomplete last line is ignored.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    let mut reader = BufReader::new(File::open(path)?);
    let mut text = String::new();
    for number in 1.. {
        text.clear();
        if reader.read_line(&mut text)? == 0 {
            break;
        }
        match serde_json::from_str(&text) {
            Ok(line) => lines.push(line),
            Err(_) if !text.ends_with('\n') => break,
            Err(why) => {
                return Err(io::Error::new(io::ErrorKind::InvalidData, format!("line {number}: {why}")));
            }
        }
    }
    Ok(lines)
}

/// Result of a sweep.
#[derive(Debug, PartialEq, Eq)]
pub struct Swept {
    /// Runs found in the results file.
    pub found: usize,
    /// Runs simulated now.
    pub played: usize,
    /// Whether the sweep was interrupted.
    pub cut: bool,
}

/// Simulates the runs of an experiment that are not in the file yet, until all are done or `end` is set.
pub fn sweep(experiment: &Experiment, path: &Path, quiet: bool, end: &AtomicBool) -> io::Result<Swept> {
    let other = |text: String| io::Error::new(io::ErrorKind::InvalidData, text);
    let print = experiment.print();
    let done = if path.exists() { read(path)? } else { Vec::new() };
    if let Some(line) = done.iter().find(|line| line.print != print) {
        let why = format!("expected results of this experiment and build ({print}), got {}", line.print);
        return Err(other(why));
    }
    // Drops an incomplete last line and duplicates.
    write(path, &done)?;
    let known: BTreeSet<(&[Setting], u64)> = done.iter().map(|line| (&line.cell[..], line.seed)).collect();
    let cells = experiment.cells();
    let mut todo = Vec::new();
    // Ordered by seed, so that an interrupted sweep has all cells for some seeds.
    for &seed in &experiment.seeds {
        todo.extend(cells.iter().filter(|cell| !known.contains(&(&cell[..], seed))).map(|cell| (cell, seed)));
    }
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left").map_err(io::Error::other)?;
    let bar =
        if quiet { ProgressBar::hidden() } else { ProgressBar::new(todo.len() as u64).with_style(style) };
    let (sender, receiver) = unbounded::<Line>();
    let file = OpenOptions::new().append(true).open(path)?;
    let writer =
        thread::Builder::new().name("results".into()).spawn(move || append_lines(file, receiver.iter()))?;
    let result = todo.par_iter().try_for_each(|(cell, seed)| {
        if end.load(Ordering::Relaxed) {
            return Ok(());
        }
        let plan = experiment.plan(cell).map_err(io::Error::other)?;
        let outcome = plan.play(*seed).map_err(|why| other(format!("{cell:?}, seed {seed}: {why}")))?;
        bar.inc(1);
        // Fails only if the writer thread has ended with a write error, which is reported below.
        let _ = sender.send(Line::new(&print, cell, &outcome));
        Ok::<(), io::Error>(())
    });
    drop(sender);
    let played =
        writer.join().map_err(|_| io::Error::other("the thread that keeps results has panicked"))??;
    bar.finish_and_clear();
    result?;
    let mut lines = read(path)?;
    let order = |line: &Line| cells.iter().position(|cell| *cell == line.cell).unwrap_or(usize::MAX);
    lines.sort_by_cached_key(|line| (order(line), line.seed));
    // Sorted, so that the same runs give the same file regardless of the order in which they ended.
    write(path, &lines)?;
    write_csv(&path.with_extension("csv"), &lines)?;
    let cut = played < todo.len();
    Ok(Swept { found: done.len(), played, cut })
}

fn append_lines(mut file: File, lines: impl Iterator<Item = Line>) -> io::Result<usize> {
    let mut written = 0;
    for line in lines {
        let mut text = serde_json::to_string(&line)?;
        text.push('\n');
        file.write_all(text.as_bytes())?;
        written += 1;
    }
    Ok(written)
}

/// Replaces the results file atomically.
fn write(path: &Path, lines: &[Line]) -> io::Result<()> {
    let mut beside = PathBuf::from(path);
    beside.add_extension("new");
    let mut file = File::create(&beside)?;
    let mut written = BTreeSet::new();
    for line in lines.iter().filter(|line| written.insert((&line.cell, line.seed))) {
        writeln!(file, "{}", serde_json::to_string(line)?)?;
    }
    file.sync_all()?;
    fs::rename(beside, path)
}

fn write_csv(path: &Path, lines: &[Line]) -> io::Result<()> {
    let Some(first) = lines.first() else { return Ok(()) };
    let mut csv = csv::Writer::from_path(path)?;
    let names = first.cell.iter().map(|(name, _)| name.as_str());
    csv.write_record(names.chain(["seed"]).chain(FIGURES).chain(["asked", "refused", "events"]))?;
    for line in lines {
        let values = line.cell.iter().map(|(_, value)| value.clone()).chain([line.seed.to_string()]);
        let figures = FIGURES.iter().map(|name| line.figure(name).unwrap_or(f64::NAN).to_string());
        let counts = [line.asked, line.refused, line.events].map(|count| count.to_string());
        csv.write_record(values.chain(figures).chain(counts))?;
    }
    csv.flush()
}

/// Settings that identify a group of runs, and the estimate of a figure over them.
pub type Grouped = (Vec<String>, Estimate);

/// Estimates of a figure by the values of some settings, in order of first appearance.
pub fn group(lines: &[Line], by: &[&str], figure: &str) -> Vec<Grouped> {
    let mut order = Vec::new();
    let mut groups = BTreeMap::<Vec<String>, Vec<f64>>::new();
    for line in lines {
        let key: Vec<String> = by.iter().map(|name| line.value(name).unwrap_or("").to_string()).collect();
        let values = groups.entry(key.clone()).or_default();
        if values.is_empty() {
            order.push(key);
        }
        values.extend(line.figure(figure));
    }
    order.into_iter().filter_map(|key| Some((key.clone(), Estimate::of(groups.get(&key)?)?))).collect()
}

/// Difference from a base value, over pairs of runs with the same seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Other settings of the cell.
    pub rest: Vec<Setting>,
    /// Value that is compared with the base.
    pub value: String,
    /// Base minus value; positive if the base has more.
    pub estimate: Estimate,
    /// Number of pairs.
    pub pairs: usize,
}

/// Differences of a figure between one value of a setting and all others, paired by the other settings and the seed.
pub fn compare(lines: &[Line], by: &str, base: &str, figure: &str) -> Vec<Difference> {
    let rest =
        |line: &Line| -> Vec<Setting> { line.cell.iter().filter(|(name, _)| name != by).cloned().collect() };
    let bases: BTreeMap<(Vec<Setting>, u64), f64> = lines
        .iter()
        .filter(|line| line.value(by) == Some(base))
        .filter_map(|line| Some(((rest(line), line.seed), line.figure(figure)?)))
        .collect();
    let (mut order, mut pairs) = (Vec::new(), BTreeMap::<(Vec<Setting>, String), Vec<f64>>::new());
    for line in lines.iter().filter(|line| line.value(by) != Some(base)) {
        let key = (rest(line), line.value(by).unwrap_or("").to_string());
        let (Some(own), Some(base_value)) = (line.figure(figure), bases.get(&(key.0.clone(), line.seed)))
        else {
            continue;
        };
        let values = pairs.entry(key.clone()).or_default();
        if values.is_empty() {
            order.push(key);
        }
        values.push(base_value - own);
    }
    order
        .into_iter()
        .filter_map(|key| {
            let values = pairs.get(&key)?;
            let estimate = Estimate::of(values)?;
            Some(Difference { rest: key.0, value: key.1, estimate, pairs: values.len() })
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn experiment() -> Experiment {
        Experiment::parse(
            r#"experiment "small" {
                base { seconds 3; servers 2; proxies 2; troubles "none"; }
                grid { policy "pool" "fixed"; load 0.5 3; }
                seeds 3
            }"#,
        )
        .unwrap()
    }

    fn file(name: &str) -> PathBuf {
        std::env::temp_dir().join(format!("gradepin-{name}-{}.jsonl", std::process::id()))
    }

    fn remove(path: &Path) {
        for path in [path.to_path_buf(), path.with_extension("csv")] {
            let _ = fs::remove_file(path);
        }
    }

    /// Guards against a resumed sweep that repeats or omits runs, and against results that depend on the order of threads.
    #[test]
    fn interrupted_sweep_resumes() {
        let (whole, cut) = (file("whole"), file("cut"));
        let end = AtomicBool::new(false);
        let swept = sweep(&experiment(), &whole, true, &end).unwrap();
        assert_eq!(swept, Swept { found: 0, played: 12, cut: false });
        let text = fs::read_to_string(&whole).unwrap();
        // Interrupted before the first run.
        end.store(true, Ordering::Relaxed);
        assert_eq!(sweep(&experiment(), &cut, true, &end).unwrap(), Swept { found: 0, played: 0, cut: true });
        // Five complete runs and an incomplete line.
        let five: Vec<&str> = text.lines().take(5).collect();
        fs::write(&cut, format!("{}\n{}", five.join("\n"), &text.lines().nth(5).unwrap()[..40])).unwrap();
        end.store(false, Ordering::Relaxed);
        let swept = sweep(&experiment(), &cut, true, &end).unwrap();
        assert_eq!(swept, Swept { found: 5, played: 7, cut: false });
        assert_eq!(fs::read_to_string(&cut).unwrap(), text);
        let csv = fs::read_to_string(whole.with_extension("csv")).unwrap();
        assert_eq!((csv.lines().count(), csv.starts_with("policy,load,seed,g,whole")), (13, true));
        [whole, cut].iter().for_each(|path| remove(path));
    }

    /// Guards against results of two experiments in one file.
    #[test]
    fn results_of_another_experiment_are_rejected() {
        let path = file("other");
        let end = AtomicBool::new(false);
        sweep(&experiment(), &path, true, &end).unwrap();
        let text = fs::read_to_string(&path).unwrap();
        let mut other = experiment();
        other.name = "same runs, another name".into();
        assert!(sweep(&other, &path, true, &end).is_ok());
        let changed = Experiment::parse(
            r#"experiment "small" { base { seconds 4; }; grid { policy "pool"; }; seeds 1; }"#,
        );
        assert!(
            sweep(&changed.unwrap(), &path, true, &end).unwrap_err().to_string().contains("expected results")
        );
        assert_eq!(fs::read_to_string(&path).unwrap(), text);
        fs::write(&path, "no json\n").unwrap();
        assert!(sweep(&experiment(), &path, true, &end).unwrap_err().to_string().contains("line 1"));
        remove(&path);
    }

    /// Pairs have the same seed and the same cell except for the compared setting.
    #[test]
    fn differences_are_paired_by_seed_and_cell() {
        let line = |policy: &str, load: &str, seed, g| Line {
            print: String::new(),
            cell: vec![("policy".into(), policy.into()), ("load".into(), load.into())],
            seed,
            g,
            parts: [g; 4],
            prices: [0.0; 2],
            broken: 0,
            asked: 10,
            tries: 20,
            served: 5,
            refused: 0,
            events: 0,
        };
        let mut lines = Vec::new();
        for seed in 0..6 {
            let g = 0.1 * seed as f64;
            lines.extend([line("a", "1", seed, g + 0.2), line("b", "1", seed, g), line("a", "2", seed, g)]);
        }
        let found = compare(&lines, "policy", "a", "g");
        assert_eq!(found.len(), 1);
        assert_eq!((found[0].value.as_str(), found[0].pairs), ("b", 6));
        // Seeds differ more than policies, but pairs don't.
        assert!((found[0].estimate.low - 0.2).abs() < 1e-9 && found[0].estimate.differs());
        let grouped = group(&lines, &["load"], "tries");
        assert_eq!(grouped.len(), 2);
        assert_eq!(grouped[0].1.mean, 2.0);
    }
}
