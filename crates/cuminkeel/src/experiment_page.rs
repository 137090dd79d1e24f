//! Tables of an experiment as text and as an HTML page with plots.

use std::fmt::Write;

use plotters::prelude::*;

use crate::{bench_report, policy_experiment};

/// Width of a plot, in pixels.
const PLOT_WIDTH_PX: u32 = 900;
/// Height of the row of one variant in a plot, in pixels.
const ROW_HEIGHT_PX: u32 = 24;
/// Height of a plot without its rows, in pixels.
const FRAME_HEIGHT_PX: u32 = 70;
/// Width of the names of variants in a plot, in pixels.
const NAME_WIDTH_PX: u32 = 180;
/// Least half width of a plot's axis, as a difference of worth.
const MIN_AXIS_REACH: f64 = 0.02;

const HEADINGS: [&str; 17] = [
    "variant",
    "worth",
    "change",
    "95 % interval",
    "in time",
    "change",
    "late",
    "waited",
    "spread",
    "slow run",
    "refused",
    "with room",
    "held",
    "held s",
    "wasted",
    "class",
    "domain",
];

/// Renders the tables as text. Shares are of all jobs, `wasted` of all work.
pub fn render_text(tables: &[policy_experiment::ScenarioTable]) -> String {
    let mut lines = Vec::new();
    for table in tables {
        lines.push(format!("\n{} (bound {:.3})", table.scenario, table.bound));
        lines.push(text_line(&HEADINGS.map(String::from)));
        lines.extend(table.rows.iter().map(|row| text_line(&cells(row))));
    }
    lines.push(String::new());
    lines.join("\n")
}

fn text_line(cells: &[String; 17]) -> String {
    let aligned: Vec<String> = (0..)
        .zip(cells)
        .map(|(number, cell)| match number {
            0 => format!("{cell:<22}"),
            3 => format!("{cell:>15}"),
            _ => format!("{cell:>9}"),
        })
        .collect();
    aligned.join(" ")
}

fn cells(row: &policy_experiment::VariantRow) -> [String; 17] {
    let share = |value: f64| format!("{value:.3}");
    let change = |interval: &policy_experiment::MeanInterval| {
        let mark = if interval.differs_from_zero() {
            "*"
        } else {
            ""
        };
        format!("{:+.3}{mark}", interval.mean)
    };
    let [in_time, late, refused, held, _] = row.end_shares;
    let [waited, spread, slow_run] = row.late_shares;
    [
        String::from(&*row.variant),
        share(row.worth),
        change(&row.worth_change),
        format!("{:+.3} {:+.3}", row.worth_change.low, row.worth_change.high),
        share(in_time),
        change(&row.in_time_change),
        share(late),
        share(waited),
        share(spread),
        share(slow_run),
        share(refused),
        share(row.refused_with_room),
        share(held),
        format!("{:.2}", row.held_s),
        share(row.wasted_work),
        share(row.least_class),
        share(row.least_domain),
    ]
}

/// Renders the page: for each scenario, a plot of the changes of worth with their intervals, and the table.
///
/// # Errors
///
/// Returns an error if a plot can't be drawn or the page can't be rendered.
pub fn render(
    tables: &[policy_experiment::ScenarioTable],
) -> Result<String, bench_report::ReportError> {
    let mut page = bench_report::page_head("cuminkeel: experiment");
    for table in tables {
        writeln!(
            page,
            "<h2>{}</h2><p>Upper bound {:.3}</p>",
            bench_report::escape(table.scenario),
            table.bound
        )?;
        page.push_str(&plot_changes(table)?);
        writeln!(page, "<table><tr><th>{}</tr>", HEADINGS.join("<th>"))?;
        for row in &table.rows {
            let cells = cells(row).map(|cell| bench_report::escape(&cell));
            writeln!(page, "<tr><td>{}</tr>", cells.join("<td>"))?;
        }
        page.push_str("</table>\n");
    }
    Ok(page)
}

/// Plots the change of worth of each variant as a line from one end of its interval to the other.
fn plot_changes(
    table: &policy_experiment::ScenarioTable,
) -> Result<String, bench_report::ReportError> {
    let reach = table
        .rows
        .iter()
        .flat_map(|row| [row.worth_change.low.abs(), row.worth_change.high.abs()])
        .fold(MIN_AXIS_REACH, f64::max);
    let row_count = table.rows.len();
    let height = FRAME_HEIGHT_PX + ROW_HEIGHT_PX * u32::try_from(row_count).unwrap_or(1);
    let mut svg = String::new();
    let drawing_area =
        SVGBackend::with_string(&mut svg, (PLOT_WIDTH_PX, height)).into_drawing_area();
    drawing_area
        .fill(&WHITE)
        .map_err(bench_report::plot_error)?;
    let mut chart = ChartBuilder::on(&drawing_area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(NAME_WIDTH_PX)
        .build_cartesian_2d(-reach * 1.1..reach * 1.1, -0.5..row_count as f64 - 0.5)
        .map_err(bench_report::plot_error)?;
    let name_of = |position: &f64| {
        let row = table
            .rows
            .iter()
            .enumerate()
            .find(|(number, _)| (*number as f64 - position).abs() < 0.1);
        row.map_or_else(String::new, |(_, row)| String::from(&*row.variant))
    };
    chart
        .configure_mesh()
        .x_desc("change of worth")
        .y_labels(row_count.max(1))
        .y_label_formatter(&name_of)
        .draw()
        .map_err(bench_report::plot_error)?;
    for (number, row) in table.rows.iter().enumerate() {
        let position = number as f64;
        let color = Palette99::pick(number).to_rgba();
        let interval = [
            (row.worth_change.low, position),
            (row.worth_change.mean, position),
            (row.worth_change.high, position),
        ];
        chart
            .draw_series(LineSeries::new(interval, color).point_size(3))
            .map_err(bench_report::plot_error)?;
    }
    drawing_area.present().map_err(bench_report::plot_error)?;
    drop(chart);
    drop(drawing_area);
    Ok(svg)
}
