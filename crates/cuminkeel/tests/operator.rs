//! Operators' commands through the real client against the stand-in platform.

use std::sync;

use argh::FromArgs;
use cuminkeel::operator::{self, customer, error, in_force, plan};
use cuminkeel_platform::client;
use cuminkeel_standin::platform::{self, faults};

/// Answers of entries, round after round; the last stays.
#[derive(Debug, Default)]
struct ScriptedProbe {
    rounds: sync::Mutex<Vec<Vec<in_force::EntryOffset>>>,
}

#[async_trait::async_trait]
impl in_force::EntryProbe for ScriptedProbe {
    async fn offsets(&self) -> Result<Vec<in_force::EntryOffset>, in_force::ProbeError> {
        let mut rounds = self.rounds.lock().expect("not poisoned");
        match rounds.len() {
            0 => Err(in_force::ProbeError),
            1 => Ok(rounds[0].clone()),
            _ => Ok(rounds.remove(0)),
        }
    }
}

#[derive(Debug, Default)]
struct KeptOutput {
    results: sync::Mutex<Vec<String>>,
    progress: sync::Mutex<Vec<String>>,
}

impl operator::OperatorOutput for KeptOutput {
    fn result(&self, line: &str) {
        self.results
            .lock()
            .expect("not poisoned")
            .push(line.to_owned());
    }

    fn progress(&self, line: &str) {
        self.progress
            .lock()
            .expect("not poisoned")
            .push(line.to_owned());
    }
}

struct Desk {
    platform: platform::PlatformStandin,
    client: client::HttpPlatform,
    probe: ScriptedProbe,
    output: KeptOutput,
}

impl Desk {
    fn open() -> Self {
        let settings = platform::PlatformSettings::default();
        let platform = platform::PlatformStandin::start(settings).expect("a free port");
        let client = client::HttpPlatform::new(client::PlatformSettings::new(platform.address()));
        Self {
            platform,
            client,
            probe: ScriptedProbe::default(),
            output: KeptOutput::default(),
        }
    }

    fn context(&self) -> operator::OperatorContext<'_> {
        operator::OperatorContext {
            log: &self.client,
            probe: &self.probe,
            output: &self.output,
        }
    }

    async fn plan(&self, args: &str) -> Result<(), error::OperatorError> {
        let args: Vec<&str> = args.split(' ').collect();
        let command = plan::PlanCommand::from_args(&["plan"], &args).expect("valid arguments");
        plan::run(command, self.context()).await
    }

    async fn customer(&self, args: &str) -> Result<(), error::OperatorError> {
        let args: Vec<&str> = args.split(' ').collect();
        let command = customer::CustomerCommand::from_args(&["customer"], &args);
        customer::run(command.expect("valid arguments"), self.context()).await
    }

    fn last_result(&self) -> String {
        let results = self.output.results.lock().expect("not poisoned");
        results.last().cloned().unwrap_or_default()
    }
}

const GOLD: &str = "set gold --max-concurrent 10 --max-starts-per-second 100";

#[tokio::test]
async fn edits_survive_each_fault_of_an_append() {
    let late = std::time::Duration::from_millis(300);
    let cases = [
        ("none", None),
        (
            "before the write",
            Some(faults::AppendFault::AckLostBeforeWrite),
        ),
        (
            "after the write",
            Some(faults::AppendFault::AckLostAfterWrite),
        ),
        ("written twice", Some(faults::AppendFault::WrittenTwice)),
        (
            "written late",
            Some(faults::AppendFault::WrittenLate { delay: late }),
        ),
    ];
    for (name, append) in cases {
        let desk = Desk::open();
        desk.plan(GOLD).await.expect("no fault yet");
        // Strikes the first append of two.
        let faults = faults::PlatformFaults {
            append,
            append_every: 2,
            ..faults::PlatformFaults::default()
        };
        desk.platform.set_faults(faults);
        for weight in 2..4 {
            let set = format!("set gold --weight {weight}");
            desk.plan(&set)
                .await
                .unwrap_or_else(|error| panic!("{name}: {error}"));
        }
        desk.plan("list").await.expect("the log is up");
        let expected =
            "plan gold version 3 weight 3 max-concurrent 10 max-starts-per-second 100 classes all";
        assert_eq!(desk.last_result(), expected, "{name}");
    }
}

#[tokio::test]
async fn failures_have_their_exit_status() {
    let desk = Desk::open();
    desk.plan(GOLD).await.expect("accepted");
    desk.customer("set mill --plan gold --new-key")
        .await
        .expect("accepted");
    let conflict = desk.plan("set gold --weight 2 --if-version 7").await;
    let in_use = desk.plan("remove gold").await;
    let incomplete = desk.plan("set silver --weight 2").await;
    let old_edit = format!("set mill --new-key --edit-id {:032x}", 1);
    let new_key = desk.customer(&old_edit).await;
    desk.platform.set_faults(faults::PlatformFaults {
        outage: true,
        ..faults::PlatformFaults::default()
    });
    let down = desk.plan("set gold --weight 2 --timeout 1").await;
    let list = desk.customer("list --timeout 1").await;
    let cases = [
        (
            "conflict",
            conflict,
            1,
            "lost to another one: plan gold version 1",
        ),
        ("in use", in_use, 1, "plan_in_use"),
        (
            "incomplete",
            incomplete,
            1,
            "needs --max-concurrent; nothing was changed",
        ),
        ("new key for an old edit", new_key, 1, "nothing was changed"),
        ("log down", down, 1, "nothing was changed"),
        ("list with log down", list, 1, "could not be read"),
    ];
    for (name, result, status, text) in cases {
        let failure = result.expect_err(name);
        assert_eq!(failure.exit_status(), status, "{name}");
        assert!(failure.to_string().contains(text), "{name}: {failure}");
    }
}

#[tokio::test]
async fn an_unknown_edit_is_settled_by_its_id() {
    let desk = Desk::open();
    desk.plan(GOLD).await.expect("accepted");
    let id = "0123456789abcdef0123456789abcdef";
    let lost = faults::PlatformFaults {
        append: Some(faults::AppendFault::AckLostAfterWrite),
        stale_records: 1,
        ..faults::PlatformFaults::default()
    };
    desk.platform.set_faults(lost);
    let set = format!("{GOLD} --if-version 1 --weight 2 --timeout 1 --edit-id {id}");
    // Stale reads hide even the first plan, and each append loses its answer.
    let failure = desk.plan(&set).await.expect_err("not known");
    assert_eq!(failure.exit_status(), 3, "{failure}");
    desk.platform.set_faults(faults::PlatformFaults::default());
    desk.plan(&set).await.expect("settled");
    desk.plan("list").await.expect("the log is up");
    assert!(
        desk.last_result()
            .starts_with("plan gold version 2 weight 2")
    );
}

#[tokio::test]
async fn waiting_names_the_entries_that_lag() {
    let entry = |vm: &str, offset| in_force::EntryOffset {
        vm: vm.into(),
        offset,
    };
    let desk = Desk::open();
    let rounds = vec![
        vec![entry("a", Some(0)), entry("b", None)],
        vec![entry("a", Some(1)), entry("b", None)],
        vec![entry("a", Some(1)), entry("b", Some(1))],
    ];
    *desk.probe.rounds.lock().expect("not poisoned") = rounds;
    desk.plan(&format!("{GOLD} --wait"))
        .await
        .expect("in force");
    let progress = desk.output.progress.lock().expect("not poisoned").clone();
    assert!(
        progress.contains(&"waiting for a (at 0), b (no answer)".to_owned()),
        "{progress:?}"
    );
    let failure = desk.plan("set gold --weight 2 --wait --timeout 1").await;
    let failure = failure.expect_err("nobody is at offset 2");
    assert_eq!(failure.exit_status(), 4);
    assert!(
        failure.to_string().contains("a (at 1), b (at 1)"),
        "{failure}"
    );
}
