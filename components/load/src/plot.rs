//! Plots of metrics against the offered load.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::report::Summary;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (800, 500);

/// Scenarios with their offered loads, relative to the capacity.
const LOADS: [(&str, f64); 6] = [
    ("load50", 0.5),
    ("load80", 0.8),
    ("load95", 0.95),
    ("load200", 2.0),
    ("load500", 5.0),
    ("load1000", 10.0),
];

/// Plots a metric of every policy against the offered load.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn against_load(
    path: &Path,
    title: &str,
    summaries: &[Summary],
    figure: fn(&Summary) -> f64,
) -> Result<(), Box<dyn Error>> {
    let lines = lines(summaries, figure);
    let highest = lines
        .iter()
        .flat_map(|(_, points)| points.iter().map(|(_, y)| *y))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((0.4..11.0).log_scale(), 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("offered load relative to the capacity")
        .draw()?;
    for (number, (name, points)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

type Line = (String, Vec<(f64, f64)>);

/// Collects the points of every policy, in the order of the loads.
fn lines(summaries: &[Summary], figure: fn(&Summary) -> f64) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    for (name, load) in LOADS {
        for summary in summaries.iter().filter(|summary| summary.scenario == name) {
            let point = (load, figure(summary));
            match lines
                .iter_mut()
                .find(|(line, _)| *line == summary.contender)
            {
                Some((_, points)) => points.push(point),
                None => lines.push((summary.contender.clone(), vec![point])),
            }
        }
    }
    lines
}
