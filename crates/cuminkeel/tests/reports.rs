//! Reports on the benchmark tool's journal.

use std::{fs, path};

use cuminkeel::bench_report;

/// Journal entries as the benchmark tool writes them, without the fields that the report does not
/// read.
const ENTRIES: [(&str, &str); 3] = [
    (
        "1.json",
        r#"{"id": "aa", "cmd": "score", "at": ["2026-01-01T00:00:00Z", "2026-01-01T00:01:00Z"],
            "why": "first", "site": "desk", "days": [
            {"name": "quiet-1", "G": 0.5, "served": 0.9, "refused": 0.02, "failed": 0.03,
             "rules": {"TWICE": 2}, "parts": [["whole day", 0.5, 0.9], ["worst class", 0.5, null]],
             "prices": [["machine-seconds", 10.0, 0.02], ["cloud calls", 3.0, 0.04]]}]}"#,
    ),
    (
        "2.json",
        r#"{"id": "bb", "cmd": "score", "at": ["2026-01-02T00:00:00Z", ""], "why": "a <b>",
            "site": "desk", "days": [
            {"name": "quiet-1", "G": 0.8, "served": 0.95, "refused": 0.0, "failed": 0.01,
             "parts": [["whole day", 0.5, 0.95], ["worst windows", 0.5, 0.7]], "prices": []},
            {"name": "given-up"}]}"#,
    ),
    (
        "3.json",
        r#"{"id": "cc", "cmd": "hunt", "at": ["2026-01-03T00:00:00Z", ""], "site": null}"#,
    ),
];

fn journal_directory(name: &str, entries: &[(&str, &str)]) -> path::PathBuf {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).expect("the journal directory is created");
    for (file_name, text) in entries {
        fs::write(directory.join(file_name), text).expect("the journal entry is written");
    }
    directory
}

#[test]
fn page_shows_the_runs_of_each_site() {
    let directory = journal_directory("runs", &ENTRIES);
    let runs = bench_report::read_journal(&directory).expect("the journal is readable");
    assert_eq!(runs.len(), 3);
    assert_eq!(runs[1].days.len(), 1, "a day without figures is skipped");
    let first = &runs[0].days[0];
    assert_eq!(&*first.broken_rules[0].0, "TWICE");
    assert_eq!(
        &*first.prices[0].0, "cloud calls",
        "the highest price comes first"
    );
    assert_eq!(first.parts.len(), 1, "a part without a figure is skipped");
    let page = bench_report::render(&runs).expect("the page renders");
    for expected in [
        "<h2>desk</h2>",
        "<svg",
        "quiet-1",
        "<td>0.800<td>0.950",
        "worst windows 0.70",
        "a &lt;b&gt;",
    ] {
        assert!(page.contains(expected), "expected `{expected}` in {page}");
    }
}

#[test]
fn unreadable_journals_and_journals_without_score_runs_are_errors() {
    let missing = bench_report::read_journal(path::Path::new("/nonexistent/journal"));
    let message = missing
        .expect_err("the directory does not exist")
        .to_string();
    assert!(
        message.starts_with("can't read /nonexistent/journal"),
        "{message}"
    );
    let directory = journal_directory("broken", &[("1.json", r#"{"id": 7}"#)]);
    let message = bench_report::read_journal(&directory).expect_err("the entry is malformed");
    let message = message.to_string();
    assert!(message.contains("1.json is malformed"), "{message}");
    let directory = journal_directory("hunt", &ENTRIES[2..]);
    let runs = bench_report::read_journal(&directory).expect("the journal is readable");
    assert!(matches!(
        bench_report::render(&runs),
        Err(bench_report::ReportError::NoScoreRuns)
    ));
}
