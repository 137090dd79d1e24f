//! Reports of a bench's journal.

use std::{fs, path};

use cuminkeel::bench_report;

/// Runs as the bench writes them; fields that no report needs are left out.
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
    fs::create_dir_all(&directory).expect("a directory");
    for (file, text) in entries {
        fs::write(directory.join(file), text).expect("an entry");
    }
    directory
}

#[test]
fn a_page_shows_the_runs_of_each_site() {
    let directory = journal_directory("runs", &ENTRIES);
    let runs = bench_report::read_journal(&directory).expect("a journal");
    assert_eq!(runs.len(), 3);
    assert_eq!(runs[1].days.len(), 1, "a day without figures is left out");
    let first = &runs[0].days[0];
    assert_eq!(&*first.broken_rules[0].0, "TWICE");
    assert_eq!(&*first.prices[0].0, "cloud calls", "dearest first");
    assert_eq!(first.parts.len(), 1, "a part without a figure is left out");
    let page = bench_report::render(&runs).expect("a page");
    for expected in [
        "<h2>desk</h2>",
        "<svg",
        "quiet-1",
        "<td>0.800<td>0.950",
        "worst windows 0.70",
        "a &lt;b&gt;",
    ] {
        assert!(page.contains(expected), "{expected} in {page}");
    }
}

#[test]
fn what_cannot_be_shown_is_said_by_name() {
    let missing = bench_report::read_journal(path::Path::new("/nonexistent/journal"));
    let failure = missing.expect_err("no directory").to_string();
    assert!(
        failure.starts_with("can't read /nonexistent/journal"),
        "{failure}"
    );
    let directory = journal_directory("broken", &[("1.json", r#"{"id": 7}"#)]);
    let failure = bench_report::read_journal(&directory).expect_err("no entry");
    let failure = failure.to_string();
    assert!(
        failure.contains("1.json is no entry of a journal"),
        "{failure}"
    );
    let directory = journal_directory("hunt", &ENTRIES[2..]);
    let hunt = bench_report::read_journal(&directory).expect("a journal");
    assert!(matches!(
        bench_report::render(&hunt),
        Err(bench_report::ReportError::NothingToShow)
    ));
}
