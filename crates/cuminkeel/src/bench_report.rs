//! A page with plots of the runs in a bench's journal.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Write},
    path,
    sync::Arc,
};

use derive_more::{Display, Error};
use platform_adapter::bench_journal;
use plotters::prelude::*;

/// Verb of runs over all standard days.
const SCORE_VERB: &str = "score";
/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 320);
/// Prices that are shown for a day.
const PRICES_SHOWN: usize = 3;

/// Why a report can't be made.
#[derive(Debug, Display, Error)]
pub enum ReportError {
    /// The journal can't be read.
    #[display("{source}")]
    Journal {
        /// What is wrong with it.
        source: bench_journal::JournalError,
    },
    /// The journal has no run that can be shown.
    #[display("the journal has no finished run over the standard days (`{SCORE_VERB}`)")]
    NothingToShow,
    /// A plot can't be drawn.
    #[display("can't draw a plot: {text}")]
    Plot {
        /// What the library says.
        #[error(not(source))]
        text: String,
    },
    /// The page can't be written.
    #[display("can't write the page: {source}")]
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

fn plot_error(failure: impl fmt::Display) -> ReportError {
    ReportError::Plot {
        text: failure.to_string(),
    }
}

/// Reads the runs in the journal at `directory`.
///
/// # Errors
///
/// Fails when an entry can't be read.
pub fn read_journal(directory: &path::Path) -> Result<Vec<bench_journal::BenchRun>, ReportError> {
    bench_journal::read_journal(directory).map_err(|source| ReportError::Journal { source })
}

/// Renders the page: for each site the worth of each day over its runs, then the days of its
/// last run with what was refused, failed and paid.
///
/// # Errors
///
/// Fails when there is nothing to show or a plot can't be drawn.
pub fn render(runs: &[bench_journal::BenchRun]) -> Result<String, ReportError> {
    let mut sites: BTreeMap<&Arc<str>, Vec<&bench_journal::BenchRun>> = BTreeMap::new();
    for run in runs {
        if let Some(site) = &run.site
            && *run.command == *SCORE_VERB
            && !run.days.is_empty()
        {
            sites.entry(site).or_default().push(run);
        }
    }
    if sites.is_empty() {
        return Err(ReportError::NothingToShow);
    }
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>cuminkeel: runs of the bench</title>\n\
         <style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}\
         td:first-child,th:first-child{text-align:left}.broken{color:#b00}</style>\n\
         <h1>Runs of the bench</h1>\n",
    );
    for (site, runs) in sites {
        writeln!(page, "<h2>{}</h2>", escape(site))?;
        page.push_str(&plot_worth(&runs)?);
        if let Some(last) = runs.last() {
            render_run(&mut page, last)?;
        }
    }
    Ok(page)
}

/// Worth of each day over the runs of a site. Days drawn for one run are left out.
fn plot_worth(runs: &[&bench_journal::BenchRun]) -> Result<String, ReportError> {
    let mut lines: BTreeMap<&Arc<str>, Vec<(f64, f64)>> = BTreeMap::new();
    for (number, run) in runs.iter().enumerate() {
        for day in &run.days {
            lines
                .entry(&day.name)
                .or_default()
                .push((number as f64 + 1.0, day.worth));
        }
    }
    let last_names: BTreeSet<&Arc<str>> = runs
        .last()
        .map(|run| run.days.iter().map(|day| &day.name).collect())
        .unwrap_or_default();
    lines.retain(|name, points| last_names.contains(name) && (points.len() > 1 || runs.len() == 1));
    let lowest = lines
        .values()
        .flatten()
        .map(|(_, worth)| *worth)
        .fold(0.0, f64::min);
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.5..runs.len() as f64 + 0.5, lowest..1.0)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc("run")
        .y_desc("worth")
        .draw()
        .map_err(plot_error)?;
    for (position, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(position).to_rgba();
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
    area.present().map_err(plot_error)?;
    drop(chart);
    drop(area);
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
            .min_by(|(_, one), (_, other)| one.total_cmp(other))
            .map_or_else(String::new, |(name, figure)| format!("{name} {figure:.2}"));
        let prices: Vec<String> = day
            .prices
            .iter()
            .take(PRICES_SHOWN)
            .map(|(name, cost)| format!("{name} {cost:.3}"))
            .collect();
        let broken: Vec<String> = day
            .broken_rules
            .iter()
            .map(|(rule, cases)| format!("{rule} {cases}"))
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
            escape(&broken.join(", ")),
        )?;
    }
    page.push_str("</table>\n");
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
