//! SVG plots: stall time by policy, and the share of complete answers over time.

use std::path;

use plotters::prelude::*;

use crate::experiment::measure;
use crate::experiment::policy;
use crate::experiment::suite;

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Failure = Box<dyn std::error::Error + Send + Sync>;

const SIZE: (u32, u32) = (900, 360);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(148, 103, 189),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(140, 140, 140),
    RGBColor(44, 160, 44),
];

/// Draws a table's plot into `folder`.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw_table(folder: &path::Path, table: &suite::Table) -> Result<(), Failure> {
    let file = folder.join(format!("{}.svg", table.scenario.name));
    let area = SVGBackend::new(&file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (left, right) = area.split_horizontally(380);
    draw_stall(&left, table)?;
    draw_completed(&right, table)?;
    area.present()?;
    Ok(())
}

/// Draws a bar chart of the stall time by policy.
fn draw_stall(area: &Area<'_>, table: &suite::Table) -> Result<(), Failure> {
    let bars: Vec<f64> = table
        .rows
        .iter()
        .map(|row| row.mean(|f| f.stall_s))
        .collect();
    let top = bars.iter().copied().fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption("stall time, s", ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(20)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..bars.len() as f64, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .draw()?;
    for (index, bar) in bars.iter().enumerate() {
        let x = index as f64;
        let style = COLOURS[index % COLOURS.len()].filled();
        chart.draw_series([Rectangle::new([(x + 0.15, 0.0), (x + 0.85, *bar)], style)])?;
    }
    Ok(())
}

/// Draws the share of requests completed in time over the time of arrival, one line per policy.
fn draw_completed(area: &Area<'_>, table: &suite::Table) -> Result<(), Failure> {
    let seconds = table.scenario.traffic.arrivals_end as f64 / 1e6;
    let mut chart = ChartBuilder::on(area)
        .caption("whole answers by time of arrival, %", ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..seconds, 0.0..102.0)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (index, row) in table.rows.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let points = share_points(row);
        let name = row.policy.name;
        chart
            .draw_series(LineSeries::new(
                points,
                colour.stroke_width(line_width(&row.policy)),
            ))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.4))
        .draw()?;
    Ok(())
}

fn line_width(policy: &policy::Policy) -> u32 {
    if *policy == policy::PEARGAP {
        3
    } else {
        1
    }
}

/// Returns pairs of time in seconds and completed requests in percent, over all seeds.
fn share_points(row: &suite::Row) -> Vec<(f64, f64)> {
    let count = row.figures.first().map_or(0, |f| f.whole_points.len());
    let mut points = Vec::new();
    for point in 0..count {
        let whole: f64 = row.figures.iter().map(|f| f.whole_points[point]).sum();
        let lost: f64 = row.figures.iter().map(|f| f.lost_points[point]).sum();
        if whole + lost > 0.0 {
            let at = (point as u64 * measure::POINT_INTERVAL_US) as f64 / 1e6;
            points.push((at, 100.0 * whole / (whole + lost)));
        }
    }
    points
}
