//! HTML report with plots of the runs in the journal of the platform's benchmark tool, whose terms
//! [`bench_journal`] explains.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Write},
    path,
    sync::Arc,
};

use derive_more::{Display, Error};
use platform_adapter::bench_journal;
use plotters::prelude::*;

/// Subcommand of the benchmark tool that runs all standard days of a site; only its runs are shown.
const SCORE_COMMAND: &str = "score";
/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 320);
/// Maximum number of prices (deductions from the worth) shown per day.
const MAX_SHOWN_PRICES: usize = 3;

/// Error that prevents a report.
#[derive(Debug, Display, Error)]
pub enum ReportError {
    /// The journal can't be read or decoded.
    #[display("{source}")]
    Journal {
        /// Error with the path of the journal or the entry.
        source: bench_journal::JournalError,
    },
    /// The journal has no run that the report can show.
    #[display("the journal has no `{SCORE_COMMAND}` run with a site and a finished day")]
    NoScoreRuns,
    /// A plot can't be drawn.
    #[display("can't draw a plot: {message}")]
    Plot {
        /// Message of the plotting library.
        #[error(not(source))]
        message: String,
    },
    /// The page can't be rendered.
    #[display("can't render the page: {source}")]
    Page {
        /// Error of the formatter.
        source: fmt::Error,
    },
}

impl From<fmt::Error> for ReportError {
    fn from(source: fmt::Error) -> Self {
        Self::Page { source }
    }
}

pub(crate) fn plot_error(error: impl fmt::Display) -> ReportError {
    ReportError::Plot {
        message: error.to_string(),
    }
}

/// Reads the runs in the journal at `directory`.
///
/// # Errors
///
/// Returns an error if the directory or an entry can't be read or decoded.
pub fn read_journal(directory: &path::Path) -> Result<Vec<bench_journal::BenchRun>, ReportError> {
    bench_journal::read_journal(directory).map_err(|source| ReportError::Journal { source })
}

/// Renders the page. For each site, it plots the worth of each day over the site's runs and
/// tabulates the days of the last run: worth, shares of requests, part with the lowest figure,
/// highest prices and broken rules.
///
/// # Errors
///
/// Returns an error if no run can be shown, or if a plot or the page can't be rendered.
pub fn render(runs: &[bench_journal::BenchRun]) -> Result<String, ReportError> {
    let mut sites: BTreeMap<&Arc<str>, Vec<&bench_journal::BenchRun>> = BTreeMap::new();
    for run in runs {
        if let Some(site) = &run.site
            && *run.command == *SCORE_COMMAND
            && !run.days.is_empty()
        {
            sites.entry(site).or_default().push(run);
        }
    }
    if sites.is_empty() {
        return Err(ReportError::NoScoreRuns);
    }
    let mut page = page_head("cuminkeel: runs of the bench");
    page.push_str("<h1>Runs of the bench</h1>\n");
    for (site, runs) in sites {
        writeln!(page, "<h2>{}</h2>", escape(site))?;
        page.push_str(&plot_worth(&runs)?);
        if let Some(last) = runs.last() {
            render_run(&mut page, last)?;
        }
    }
    Ok(page)
}

/// Returns the head of a page with this title.
pub(crate) fn page_head(title: &str) -> String {
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{}</title>\n\
         <style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:.2em .8em;text-align:right}}\
         td:first-child,th:first-child{{text-align:left}}.broken{{color:#b00}}</style>\n",
        escape(title)
    )
}

/// Plots the worth of each day over the runs of a site. Leaves out days that the last run does
/// not have and, unless the site has a single run, days of one run only.
fn plot_worth(runs: &[&bench_journal::BenchRun]) -> Result<String, ReportError> {
    let mut series: BTreeMap<&Arc<str>, Vec<(f64, f64)>> = BTreeMap::new();
    for (run_index, run) in runs.iter().enumerate() {
        for day in &run.days {
            series
                .entry(&day.name)
                .or_default()
                .push((run_index as f64 + 1.0, day.worth));
        }
    }
    let last_day_names: BTreeSet<&Arc<str>> = runs
        .last()
        .map(|run| run.days.iter().map(|day| &day.name).collect())
        .unwrap_or_default();
    series.retain(|name, points| {
        last_day_names.contains(name) && (points.len() > 1 || runs.len() == 1)
    });
    let min_worth = series
        .values()
        .flatten()
        .map(|(_, worth)| *worth)
        .fold(0.0, f64::min);
    let mut svg = String::new();
    let drawing_area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
    drawing_area.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&drawing_area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.5..runs.len() as f64 + 0.5, min_worth..1.0)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc("run")
        .y_desc("worth")
        .draw()
        .map_err(plot_error)?;
    for (index, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color).point_size(3))
            .map_err(plot_error)?
            .label(String::from(&***name))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::LowerLeft)
        .draw()
        .map_err(plot_error)?;
    drawing_area.present().map_err(plot_error)?;
    drop(chart);
    drop(drawing_area);
    Ok(svg)
}

fn render_run(page: &mut String, run: &bench_journal::BenchRun) -> Result<(), ReportError> {
    writeln!(
        page,
        "<p>Last run: {}, {} ({})</p>\n<table><tr><th>day<th>worth<th>served<th>refused\
         <th>failed<th>weakest part<th>dearest prices<th>broken rules</tr>",
        escape(&run.id),
        escape(&run.started_at),
        escape(&run.reason),
    )?;
    for day in &run.days {
        let weakest = day
            .parts
            .iter()
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map_or_else(String::new, |(name, value)| format!("{name} {value:.2}"));
        let prices: Vec<String> = day
            .prices
            .iter()
            .take(MAX_SHOWN_PRICES)
            .map(|(name, cost)| format!("{name} {cost:.3}"))
            .collect();
        let broken_rules: Vec<String> = day
            .broken_rules
            .iter()
            .map(|(rule, count)| format!("{rule} {count}"))
            .collect();
        writeln!(
            page,
            "<tr><td>{}<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.3}<td>{}<td>{}<td class=\"broken\">{}</tr>",
            escape(&day.name),
            day.worth,
            day.served_share,
            day.refused_share,
            day.failed_share,
            escape(&weakest),
            escape(&prices.join(", ")),
            escape(&broken_rules.join(", ")),
        )?;
    }
    page.push_str("</table>\n");
    Ok(())
}

pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
