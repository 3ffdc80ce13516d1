//! Self-contained HTML reports of a day or a sweep: figures, plots and rule violations.

use super::plots;
use super::results::{Difference, Line, group};
use gradepin_model::scenario::Scenario;
use gradepin_model::world::Outcome;
use minijinja::{Environment, context};
use std::error::Error;

const PAGE: &str = include_str!("page.html");

fn page(context: minijinja::Value) -> Result<String, Box<dyn Error>> {
    let mut environment = Environment::new();
    environment.add_template("page.html", PAGE)?;
    Ok(environment.get_template("page.html")?.render(context)?)
}

fn percent(part: f64) -> String {
    format!("{:.1}%", 100.0 * part)
}

/// Report of a simulated day.
pub fn day(title: &str, day: &Scenario, outcome: &Outcome) -> Result<String, Box<dyn Error>> {
    let classes: Vec<String> = day.classes.iter().map(|class| class.class.name.clone()).collect();
    let offices: Vec<String> = day.tenants.iter().map(|office| office.tenant.name.clone()).collect();
    let report = &outcome.report;
    let parts = report.parts();
    let figures = vec![
        ("service, deductions taken off", percent(report.score)),
        ("the whole", percent(parts[0])),
        ("the worst 10 s", format!("{}, from {} s", percent(parts[1]), report.worst.0 / 1_000)),
        ("the worst class", percent(parts[2])),
        ("the worst office, within its share", percent(parts[3])),
        ("requests answered late", percent(report.deduction_rates[0])),
        ("work wasted, of that asked for", percent(report.deduction_rates[1])),
        ("requests", outcome.total.asked.to_string()),
        ("tries", outcome.total.tries.to_string()),
        ("tries turned away", outcome.total.refused.to_string()),
        ("rules broken", outcome.violations.len().to_string()),
    ];
    let collapsed = report.total.share() < 0.5;
    let verdict = if collapsed {
        "Collapse: less than half of the worth asked for was served."
    } else if outcome.violations.is_empty() {
        "All rules were kept."
    } else {
        "Rules were broken."
    };
    let troubles: Vec<String> = day
        .faults
        .iter()
        .map(|t| format!("{} at {:.1} s for {:.1} s on {} machines", t.word(), t.at_s, t.len_s, t.on.len()))
        .collect();
    let broken: Vec<String> = outcome
        .violations
        .iter()
        .take(50)
        .map(|b| {
            let request = b.attempt.map_or_else(String::new, |request| format!(", try {request}"));
            format!("{} ms, server {}{request}: {}", b.at_ms, b.server, b.violation)
        })
        .collect();
    let sums =
        |names: &[String], sums: &[gradepin_model::service_report::service::Sum]| -> Vec<Vec<String>> {
            let row = |(name, sum): (&String, &gradepin_model::service_report::service::Sum)| {
                vec![name.clone(), sum.count.to_string(), percent(sum.share())]
            };
            names.iter().zip(sums).map(row).collect()
        };
    let plots: Vec<String> =
        plots::course(outcome, &classes, &offices)?.into_iter().map(|(_, svg)| svg).collect();
    page(context! {
        title,
        verdict,
        figures,
        tables => vec![
            ("By class", vec!["class", "requests", "service"], sums(&classes, &report.classes)),
            ("By office, within shares", vec!["office", "requests", "service"], sums(&offices, &report.tenants)),
            ("By office, beyond shares", vec!["office", "requests", "service"], sums(&offices, &report.over_quota)),
        ],
        lists => vec![("Troubles", troubles), ("Broken rules", broken)],
        plots,
    })
}

/// Report of a sweep: one plot per combination of the settings that are neither axis nor curve, a table of all cells, and
/// the differences from the base.
pub fn sweep(
    title: &str,
    lines: &[Line],
    axes: (&str, &str),
    figure: &str,
    differences: &[Difference],
) -> Result<String, Box<dyn Error>> {
    let (x, curves) = axes;
    let names: Vec<&str> = lines
        .first()
        .map(|line| line.cell.iter().map(|(name, _)| name.as_str()).collect())
        .unwrap_or_default();
    let rest: Vec<&str> = names.iter().copied().filter(|name| *name != x && *name != curves).collect();
    let mut plots = Vec::new();
    for (key, _) in group(lines, &rest, figure) {
        let selected: Vec<Line> = lines
            .iter()
            .filter(|line| rest.iter().zip(&key).all(|(name, value)| line.value(name) == Some(value)))
            .cloned()
            .collect();
        let labels: Vec<String> =
            rest.iter().zip(&key).map(|(name, value)| format!("{name} {value}")).collect();
        let title =
            if labels.is_empty() { figure.to_string() } else { format!("{figure}: {}", labels.join(", ")) };
        plots.push(super::plots::sweep(&selected, x, curves, figure, &title)?);
    }
    let cells: Vec<Vec<String>> = group(lines, &names, figure)
        .into_iter()
        .map(|(mut key, estimate)| {
            key.extend([
                format!("{:.4}", estimate.mean),
                format!("{:.4} to {:.4}", estimate.low, estimate.high),
            ]);
            key
        })
        .collect();
    let rows: Vec<Vec<String>> = differences
        .iter()
        .map(|d| {
            let rest: Vec<String> = d.rest.iter().map(|(name, value)| format!("{name} {value}")).collect();
            let word = if d.estimate.differs() { "" } else { "within noise" };
            let range = format!("{:+.4} to {:+.4}", d.estimate.low, d.estimate.high);
            vec![rest.join(", "), d.value.clone(), format!("{:+.4}", d.estimate.mean), range, word.into()]
        })
        .collect();
    let broken: u64 = lines.iter().map(|line| line.broken).sum();
    let header: Vec<&str> = names.iter().copied().chain([figure, "interval of 95%"]).collect();
    page(context! {
        title,
        verdict => format!("{} runs, {broken} rules broken.", lines.len()),
        figures => Vec::<(String, String)>::new(),
        tables => vec![
            ("Cells", header, cells),
            ("Differences from the base, paired by seed",
             vec!["cell", "against", "base less other", "interval of 95%", ""], rows),
        ],
        lists => Vec::<(String, Vec<String>)>::new(),
        plots,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::Plan;

    fn page_at(load: &str) -> String {
        let mut plan = Plan::default();
        let small = [("seconds", "12"), ("servers", "4"), ("proxies", "3"), ("troubles", "none")];
        for (name, value) in small.into_iter().chain([("policy", "pool"), ("load", load)]) {
            plan.set(name, value).unwrap();
        }
        let drawn = plan.ranges.draw(4);
        day("a <day> & more", &drawn, &plan.play(4).unwrap()).unwrap()
    }

    /// Guards against reports that hide a collapse, load external resources, or don't escape names.
    #[test]
    fn report_shows_a_collapse_and_is_self_contained() {
        let (quiet, heavy) = (page_at("0.15"), page_at("1.5"));
        assert!(heavy.contains("Collapse") && !quiet.contains("Collapse"));
        for page in [quiet, heavy] {
            assert!(page.contains("a &lt;day&gt; &amp; more"));
            assert_eq!(page.matches("<svg").count(), 4);
            assert!(!page.contains("src=") && !page.contains("href=") && !page.contains("url("));
        }
    }
}
