//! Report of a command: text, JSON and plot.

use super::figure::Figure;
use super::fit::{Fit, Point};
use crate::model::plots::{Curve, Labels, draw};
use serde_json::{Value, json};
use std::error::Error;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of points of a plotted fit.
const PLOTTED_POINTS: usize = 60;

/// Results of a command.
#[derive(Debug, Clone)]
pub struct Report {
    /// Name of the command.
    pub command: &'static str,
    /// Unit of the sizes.
    pub sizes_of: &'static str,
    /// Planned size.
    pub target: f64,
    /// Random seed of the run.
    pub seed: u64,
    /// Measured figures.
    pub figures: Vec<Figure>,
    /// Reason why the run isn't scored, if so; the figures then describe the tool rather than the server.
    pub not_scored: Option<String>,
}

impl Report {
    /// Whether each budget that the page claims to hold does; never for a run that isn't scored.
    pub fn keeps_claims(&self) -> bool {
        self.not_scored.is_none() && self.figures.iter().all(|figure| figure.keeps_claim(self.target))
    }

    /// Lines of the text report.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "scale {}: by {}, planned for {}; seed {}; {}",
            self.command,
            self.sizes_of,
            self.target,
            self.seed,
            machine()
        )];
        self.figures.iter().for_each(|figure| lines.extend(self.figure_lines(figure)));
        lines.push(match &self.not_scored {
            Some(why) => format!("NOT SCORED: {why}"),
            None if self.keeps_claims() => "each budget that the page claims to hold does".into(),
            None => "NOT KEPT: a budget that the page claims to hold doesn't".into(),
        });
        lines
    }

    fn figure_lines(&self, figure: &Figure) -> Vec<String> {
        let unit = figure.unit;
        let points: Vec<String> =
            figure.points.iter().map(|point| format!("{}: {}", point.size, short(point.value))).collect();
        let mut lines = vec![format!("{} ({}, {unit}): {}", figure.id, figure.what, points.join(", "))];
        lines.push(match Fit::of(&figure.points) {
            Ok(fit) => format!("  fit: {}, residual {:.1}%", fit.form, 100.0 * fit.residual),
            Err(why) => format!("  no fit: {why}"),
        });
        lines.push(match figure.at_target(self.target) {
            Ok(target_value) => {
                let how = if target_value.measured { "measured" } else { "by the fit" };
                let budget = figure.budget.map(|budget| {
                    let verdict = budget.judge(target_value.value);
                    let word = if verdict.holds { "holds" } else { "fails" };
                    format!(
                        "; budget {} {unit}: {word} by a factor of {:.2}",
                        short(budget.limit),
                        verdict.factor
                    )
                });
                format!(
                    "  at {}: {} {unit}, {how}{}",
                    self.target,
                    short(target_value.value),
                    budget.unwrap_or_default()
                )
            }
            Err(why) => format!("  at {}: not extrapolated: {why}", self.target),
        });
        lines
    }

    /// Report as JSON.
    pub fn json(&self) -> Value {
        let figures: Vec<Value> = self.figures.iter().map(|figure| self.figure_json(figure)).collect();
        let date = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        json!({
            "command": self.command, "sizes_of": self.sizes_of, "target": self.target, "seed": self.seed,
            "unix_time": date, "machine": machine(), "not_scored": self.not_scored, "figures": figures,
            "keeps_claims": self.keeps_claims()
        })
    }

    fn figure_json(&self, figure: &Figure) -> Value {
        let points: Vec<Value> =
            figure.points.iter().map(|point| json!({"size": point.size, "value": point.value})).collect();
        let fit = match Fit::of(&figure.points) {
            Ok(fit) => {
                json!({"form": fit.form.to_string(), "weights": fit.weights, "residual": fit.residual})
            }
            Err(why) => json!({"refused": why.to_string()}),
        };
        let target = match figure.at_target(self.target) {
            Ok(target_value) => json!({"value": target_value.value, "measured": target_value.measured}),
            Err(why) => json!({"refused": why.to_string()}),
        };
        let budget = figure.budget.map(|budget| {
            let verdict = figure.at_target(self.target).ok().map(|target_value| budget.judge(target_value.value));
            let verdict = verdict.map(|verdict| json!({"holds": verdict.holds, "factor": verdict.factor}));
            json!({"limit": budget.limit, "side": format!("{:?}", budget.side), "claim": format!("{:?}", budget.claim),
                   "verdict": verdict})
        });
        json!({"id": figure.id, "what": figure.what, "unit": figure.unit, "points": points, "fit": fit,
               "at_target": target, "budget": budget})
    }

    /// Plot of all points and fits, each figure scaled to its largest value.
    pub fn plot(&self) -> Result<String, Box<dyn Error>> {
        let mut curves = Vec::new();
        for figure in &self.figures {
            let largest = figure.points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
            if largest <= 0.0 {
                continue;
            }
            let scaled = |point: &Point| (point.size, point.value / largest);
            curves.push(Curve::plain(figure.id, figure.points.iter().map(scaled).collect()));
            if let Ok(fit) = Fit::of(&figure.points) {
                let sizes = plotted_sizes(&figure.points);
                let points =
                    sizes.map(|size| (size, fit.at(size) / largest)).filter(|(_, value)| *value > 0.0);
                curves.push(Curve::plain(&format!("{}: {}", figure.id, fit.form), points.collect()));
            }
        }
        let title = format!("scale {}: figures as parts of their largest, and fits", self.command);
        draw(&Labels { title: &title, x: self.sizes_of, y: "part of the largest", log: true }, &curves)
    }

    /// Prints the report and writes the given files; returns whether the claims are kept.
    pub fn finish(&self, json: Option<&Path>, plot: Option<&Path>) -> Result<bool, Box<dyn Error>> {
        self.lines().iter().for_each(|line| println!("{line}"));
        if let Some(path) = json {
            std::fs::write(path, serde_json::to_vec_pretty(&self.json())?)?;
        }
        if let Some(path) = plot {
            std::fs::write(path, self.plot()?)?;
        }
        Ok(self.keeps_claims())
    }
}

/// Sizes from the smallest to the largest, evenly spaced in the logarithm.
fn plotted_sizes(points: &[Point]) -> impl Iterator<Item = f64> {
    let smallest = points.iter().map(|point| point.size).fold(f64::INFINITY, f64::min);
    let largest = points.iter().map(|point| point.size).fold(0.0, f64::max);
    (0..=PLOTTED_POINTS).map(move |n| smallest * (largest / smallest).powf(n as f64 / PLOTTED_POINTS as f64))
}

/// Number of cores and one-minute load average of the machine.
fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    format!("{cores} cores, load {}", load.split(' ').next().unwrap_or("unknown"))
}

/// Formats a value with about three digits and without an exponent.
fn short(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 || size == 0.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

#[cfg(test)]
mod tests;
