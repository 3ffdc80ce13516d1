//! SVG plots: the course of a day, and sweeps with confidence bands.

use super::results::{Line, group};
use gradepin_model::world::{Outcome, Second};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;

type Result<T> = std::result::Result<T, Box<dyn Error>>;
type Svg<'a> = DrawingArea<SVGBackend<'a>, Shift>;

const SIZE: (u32, u32) = (900, 340);
/// Palette that is distinguishable with red-green colour blindness (Okabe and Ito).
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
    RGBColor(160, 120, 60),
];

/// Curve of a plot, with an optional band.
pub struct Curve {
    /// Name in the legend.
    pub name: String,
    /// Points from left to right.
    pub points: Vec<(f64, f64)>,
    /// Lower and upper end of the band at each point; empty for no band.
    pub band: Vec<(f64, f64)>,
}

impl Curve {
    /// Creates a curve without a band.
    pub fn plain(name: &str, points: Vec<(f64, f64)>) -> Self {
        Self { name: name.to_string(), points, band: Vec::new() }
    }
}

/// Labels of a plot.
pub struct Labels<'a> {
    /// Title above the plot.
    pub title: &'a str,
    /// Label of the x axis.
    pub x: &'a str,
    /// Label of the y axis.
    pub y: &'a str,
    /// Whether both axes are logarithmic.
    pub log: bool,
}

/// Draws curves and returns the SVG text.
pub fn draw(labels: &Labels<'_>, curves: &[Curve]) -> Result<String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        chart(&area, labels, curves)?;
        area.present()?;
    }
    Ok(text)
}

fn chart(area: &Svg<'_>, labels: &Labels<'_>, curves: &[Curve]) -> Result<()> {
    let all = || curves.iter().flat_map(|curve| &curve.points);
    let bands = || curves.iter().flat_map(|curve| &curve.band);
    let x_min = all().map(|(x, _)| *x).fold(f64::INFINITY, f64::min);
    let x_max = all().map(|(x, _)| *x).fold(f64::NEG_INFINITY, f64::max);
    let (x_min, x_max) = if x_min < x_max { (x_min, x_max) } else { (0.0, 1.0) };
    let top = all().map(|(_, y)| *y).chain(bands().map(|(_, high)| *high)).fold(0.0, f64::max);
    // Fractions are shown up to 1.
    let top = if top <= 0.0 || (0.5..=1.0).contains(&top) { 1.0 } else { top * 1.05 };
    let mut builder = ChartBuilder::on(area);
    builder.caption(labels.title, ("sans-serif", 18)).margin(10).x_label_area_size(36).y_label_area_size(64);
    if labels.log {
        let floor = all().map(|(_, y)| *y).filter(|y| *y > 0.0).fold(f64::INFINITY, f64::min);
        let floor = if floor.is_finite() { floor * 0.8 } else { 0.1 };
        let mut chart =
            builder.build_cartesian_2d((x_min..x_max).log_scale(), (floor..top * 1.2).log_scale())?;
        chart.configure_mesh().x_desc(labels.x).y_desc(labels.y).light_line_style(WHITE).draw()?;
        for (number, curve) in curves.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(curve.points.clone(), colour.stroke_width(2)).point_size(3))?
                .label(curve.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        return Ok(());
    }
    let mut chart = builder.build_cartesian_2d(x_min..x_max, 0.0..top)?;
    chart.configure_mesh().x_desc(labels.x).y_desc(labels.y).light_line_style(WHITE).draw()?;
    for (number, curve) in curves.iter().enumerate() {
        let colour = COLOURS[number % COLOURS.len()];
        if !curve.band.is_empty() {
            let up = curve.points.iter().zip(&curve.band).map(|((x, _), (_, high))| (*x, *high));
            let down = curve.points.iter().zip(&curve.band).rev().map(|((x, _), (low, _))| (*x, *low));
            let outline: Vec<(f64, f64)> = up.chain(down).collect();
            chart.draw_series([Polygon::new(outline, colour.mix(0.18))])?;
        }
        chart
            .draw_series(LineSeries::new(curve.points.clone(), colour.stroke_width(2)))?
            .label(curve.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    if !curves.is_empty() {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(RGBColor(200, 200, 200))
            .draw()?;
    }
    Ok(())
}

/// Plots of a day: service by class and by tenant, running and waiting requests, and failures by cause.
pub fn course(
    outcome: &Outcome,
    classes: &[String],
    offices: &[String],
) -> Result<Vec<(&'static str, String)>> {
    let service = |names: &[String], sums: &[Vec<gradepin_model::service_report::service::Sum>]| {
        let of = |index: usize| {
            let points = sums.iter().enumerate().filter(|(_, second)| second[index].count > 0);
            points.map(|(second, sums)| (second as f64, sums[index].share())).collect()
        };
        names.iter().enumerate().map(|(index, name)| Curve::plain(name, of(index))).collect::<Vec<Curve>>()
    };
    let counted = |name: &str, count: fn(&Second) -> u64| {
        let points = outcome.course.seconds.iter().enumerate();
        Curve::plain(name, points.map(|(second, it)| (second as f64, count(it) as f64)).collect())
    };
    let labels = |title, y| Labels { title, x: "seconds", y, log: false };
    Ok(vec![
        (
            "service-by-class",
            draw(&labels("Service by class", "earned / asked"), &service(classes, &outcome.course.classes))?,
        ),
        (
            "service-by-office",
            draw(&labels("Service by office", "earned / asked"), &service(offices, &outcome.course.tenants))?,
        ),
        (
            "running-and-held",
            draw(
                &labels("Running and held, all servers", "requests"),
                &[counted("running", |s| s.running), counted("held or unread", |s| s.waiting)],
            )?,
        ),
        (
            "refusals",
            draw(
                &labels("What came to nothing, by cause", "a second"),
                &[
                    counted("turned away by a server", |s| s.refused),
                    counted("failed by a server", |s| s.failed),
                    counted("timed out", |s| s.timed_out),
                    counted("told to stay away", |s| s.away),
                    counted("below the level", |s| s.below_level),
                    counted("no server left", |s| s.exhausted),
                ],
            )?,
        ),
    ])
}

/// Plot of a sweep: a figure over one setting, with one curve per value of another and confidence bands over the seeds.
pub fn sweep(lines: &[Line], x: &str, curves: &str, figure: &str, title: &str) -> Result<String> {
    let mut all: Vec<Curve> = Vec::new();
    for (key, estimate) in group(lines, &[curves, x], figure) {
        let at: f64 = key[1].parse().map_err(|_| format!("expected numbers as '{x}', got '{}'", key[1]))?;
        let index = all.iter().position(|curve| curve.name == key[0]).unwrap_or_else(|| {
            all.push(Curve::plain(&key[0], Vec::new()));
            all.len() - 1
        });
        all[index].points.push((at, estimate.mean));
        all[index].band.push((estimate.low, estimate.high));
    }
    for curve in &mut all {
        let mut both: Vec<_> = curve.points.iter().copied().zip(curve.band.iter().copied()).collect();
        both.sort_by(|a, b| a.0.0.total_cmp(&b.0.0));
        (curve.points, curve.band) = both.into_iter().unzip();
    }
    draw(&Labels { title, x, y: figure, log: false }, &all)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against plots without labels, and against failures without data.
    #[test]
    fn plot_has_title_labels_and_legend() {
        let labels = Labels { title: "Title", x: "across", y: "up", log: false };
        let curve = |name: &str| Curve {
            name: name.into(),
            points: vec![(0.0, 0.1), (1.0, 0.9)],
            band: vec![(0.0, 0.2), (0.8, 1.0)],
        };
        let svg = draw(&labels, &[curve("first"), curve("second")]).unwrap();
        for text in ["<svg", "Title", "across", "up", "first", "second", "polygon"] {
            assert!(svg.contains(text), "{text}");
        }
        assert!(draw(&labels, &[]).unwrap().contains("Title"));
        assert!(draw(&Labels { log: true, ..labels }, &[curve("third")]).unwrap().contains("third"));
    }
}
