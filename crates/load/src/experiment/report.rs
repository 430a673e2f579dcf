//! Markdown tables of the figures.

use core::fmt;
use core::fmt::Write as _;

use crate::experiment::measure;
use crate::experiment::suite;
use crate::experiment::target;

/// One column of a table.
struct Column {
    decimals: usize,
    figure: fn(&measure::Figures) -> f64,
    title: &'static str,
}

const fn column(
    title: &'static str,
    decimals: usize,
    figure: fn(&measure::Figures) -> f64,
) -> Column {
    Column {
        decimals,
        figure,
        title,
    }
}

const COLUMNS: [Column; 15] = [
    column("stall s", 1, |f| f.stall_s),
    column("preemptions", 0, |f| f.preemptions as f64),
    column("gap p99 ms", 1, |f| f.gap_p99_ms),
    column("gap p99.9 ms", 1, |f| f.gap_p999_ms),
    column("goodput tok/s", 0, |f| f.goodput),
    column("whole %", 2, |f| 100.0 * f.whole as f64 / f.arrived as f64),
    column("refused %", 2, |f| {
        100.0 * f.refused as f64 / f.arrived as f64
    }),
    column("accepted lost %", 2, |f| 100.0 * f.lost_share()),
    column("offers a request", 3, |f| {
        f.offers as f64 / f.arrived as f64
    }),
    column("died", 0, |f| f.died as f64),
    column("fell over", 1, |f| f.overload_crashes as f64),
    column("first p50 s", 2, |f| f.first_p50_ms / 1000.0),
    column("first p99 s", 1, |f| f.first_p99_ms / 1000.0),
    column("urgent p99 s", 1, |f| f.urgent_p99_ms / 1000.0),
    column("Jain", 3, |f| f.fairness),
];

/// Writes a table and, if `targets` is set, the targets that apply to it.
///
/// # Errors
///
/// Returns an error if writing to `text` fails.
pub fn write_table(text: &mut String, table: &suite::Table, targets: bool) -> fmt::Result {
    let scenario = &table.scenario;
    let seeds = table.rows.first().map_or(0, |row| row.figures.len());
    writeln!(text, "### {}\n", scenario.title)?;
    writeln!(
        text,
        "`{}`: load {}, mean of {seeds} seeds, uncrowded gap p99 {:.1} ms.\n",
        scenario.name, scenario.traffic.load, table.uncrowded_ms
    )?;
    write_header(text)?;
    for row in &table.rows {
        write!(text, "| {} |", row.policy.name)?;
        for column in &COLUMNS {
            write!(text, " {:.*} |", column.decimals, row.mean(column.figure))?;
        }
        writeln!(text)?;
    }
    writeln!(text)?;
    if targets {
        write_targets(text, table)?;
    }
    Ok(())
}

fn write_header(text: &mut String) -> fmt::Result {
    write!(text, "| policy |")?;
    for column in &COLUMNS {
        write!(text, " {} |", column.title)?;
    }
    write!(text, "\n|---|")?;
    for _ in &COLUMNS {
        write!(text, "---:|")?;
    }
    writeln!(text)
}

fn write_targets(text: &mut String, table: &suite::Table) -> fmt::Result {
    writeln!(text, "| target | bound | measured | |\n|---|---:|---:|---|")?;
    for result in target::evaluate_table(table) {
        let word = if result.met { "met" } else { "MISSED" };
        let what = result.what;
        writeln!(
            text,
            "| {what} | {} | {:.3} | {word} |",
            result.bound, result.value
        )?;
    }
    writeln!(text)
}
