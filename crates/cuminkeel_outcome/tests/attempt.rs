//! Evidence of attempts against the tables of `docs/BACKEND_CONTRACT.md`.

use cuminkeel_outcome::attempt;
use cuminkeel_types::outcome;

const TASK: &str = "0123-4";
const SLOTS_FULL: Proof = Proof::NotStarted(outcome::NotStartedCause::SlotsFull);
const LEAVING: Proof = Proof::NotStarted(outcome::NotStartedCause::Leaving);
const TOO_LARGE: Proof = Proof::NotStarted(outcome::NotStartedCause::TooLarge);
const NO_CONNECTION: Proof = Proof::NotStarted(outcome::NotStartedCause::NoConnection);
const NOT_SENT: Proof = Proof::NotStarted(outcome::NotStartedCause::NotSent);

#[derive(Debug, PartialEq)]
enum Proof {
    Done,
    NotStarted(outcome::NotStartedCause),
    Failed,
    Lost,
}

fn proof(evidence: &attempt::AttemptEvidence) -> Proof {
    match evidence.outcome(TASK) {
        outcome::TaskOutcome::Done { .. } => Proof::Done,
        outcome::TaskOutcome::NotStarted { cause } => Proof::NotStarted(cause),
        outcome::TaskOutcome::Failed { .. } => Proof::Failed,
        outcome::TaskOutcome::Lost { .. } => Proof::Lost,
    }
}

fn answered(
    status: u16,
    task: &str,
    reason: Option<&str>,
    output: Option<&str>,
) -> attempt::AttemptEvidence {
    attempt::AttemptEvidence::Answered {
        status,
        body: Some(attempt::AnswerBody {
            task: task.into(),
            reason: reason.map(Into::into),
            output: output.map(Into::into),
            run_ms: Some(3),
            ..attempt::AnswerBody::default()
        }),
    }
}

fn broken(phase: attempt::ConnectionPhase) -> attempt::AttemptEvidence {
    attempt::AttemptEvidence::ConnectionFailed {
        phase,
        detail: "reset".into(),
    }
}

#[test]
fn each_answer_of_the_contract_gives_its_proof() {
    let other = "0123-5";
    let cases = [
        (200, TASK, None, Some("x"), Proof::Done),
        (200, TASK, None, Some(""), Proof::Done),
        (200, TASK, None, None, Proof::Lost),
        (200, TASK, Some("failed"), Some("x"), Proof::Lost),
        (200, other, None, Some("x"), Proof::Lost),
        (409, TASK, Some("duplicate"), None, Proof::Lost),
        (503, TASK, Some("slots_full"), None, SLOTS_FULL),
        (503, TASK, Some("leaving"), None, LEAVING),
        (503, TASK, Some("too_large"), None, TOO_LARGE),
        (503, other, Some("leaving"), None, Proof::Lost),
        (503, TASK, Some("unknown"), None, Proof::Lost),
        (503, TASK, None, None, Proof::Lost),
        (500, TASK, Some("failed"), None, Proof::Failed),
        (500, TASK, Some("stopped"), None, Proof::Failed),
        (500, other, Some("failed"), None, Proof::Lost),
        (500, TASK, None, None, Proof::Lost),
        (500, TASK, Some("slots_full"), None, Proof::Lost),
        (429, TASK, Some("slots_full"), None, Proof::Lost),
    ];
    for (status, task, reason, output, expected) in cases {
        let evidence = answered(status, task, reason, output);
        assert_eq!(proof(&evidence), expected, "{evidence:?}");
    }
}

#[test]
fn each_failure_of_a_connection_gives_its_proof() {
    let malformed = |status| attempt::AttemptEvidence::Answered { status, body: None };
    let cases = [
        (malformed(200), Proof::Lost),
        (malformed(503), Proof::Lost),
        (attempt::AttemptEvidence::NotSent, NOT_SENT),
        (attempt::AttemptEvidence::TimedOut, Proof::Lost),
        (broken(attempt::ConnectionPhase::BeforeWrite), NO_CONNECTION),
        (broken(attempt::ConnectionPhase::DuringWrite), Proof::Lost),
        (broken(attempt::ConnectionPhase::AfterWrite), Proof::Lost),
        (broken(attempt::ConnectionPhase::Reused), Proof::Lost),
    ];
    for (evidence, expected) in cases {
        assert_eq!(proof(&evidence), expected, "{evidence:?}");
    }
}

#[test]
fn a_job_is_not_run_only_if_every_task_is_proved_not_started() {
    let not_started = outcome::TaskOutcome::NotStarted {
        cause: outcome::NotStartedCause::SlotsFull,
    };
    let lost = outcome::TaskOutcome::Lost { detail: "".into() };
    let failed = outcome::TaskOutcome::Failed { detail: "".into() };
    let refused = attempt::TaskProgress::Ended(&not_started);
    let lost = attempt::TaskProgress::Ended(&lost);
    let failed = attempt::TaskProgress::Ended(&failed);
    let cases = [
        ("no task", vec![], outcome::RunStatus::NotRun),
        (
            "never sent",
            vec![attempt::TaskProgress::NeverSent],
            outcome::RunStatus::NotRun,
        ),
        (
            "all refused",
            vec![refused, attempt::TaskProgress::NeverSent, refused],
            outcome::RunStatus::NotRun,
        ),
        (
            "one in flight",
            vec![refused, attempt::TaskProgress::InFlight],
            outcome::RunStatus::Unknown,
        ),
        (
            "one lost",
            vec![lost, attempt::TaskProgress::NeverSent],
            outcome::RunStatus::Unknown,
        ),
        (
            "one failed",
            vec![lost, failed, refused],
            outcome::RunStatus::Ran,
        ),
    ];
    for (name, tasks, expected) in cases {
        assert_eq!(attempt::job_run_status(tasks), expected, "{name}");
    }
}
