//! Named faults, each brought about once at a known moment of the smallest case.
//!
//! A case is one line: a name, commands with their times in milliseconds, the
//! replies in their order, and the number of starts. Place 0 is the authority
//! of the key, 1 its witness, 2 another entry; jobs run for 100 ms.

use cuminkeel_outcome::{rules, settings};
use cuminkeel_types::outcome;

use super::world::{Command, KeyCall, Weather, World};

const RUN_MILLIS: u64 = 100;
const END_MILLIS: u64 = 8_000;

const RESUBMISSION: &str = "
at the authority      | 10 submit 0                          | complete                      | 1
at the witness        | 10 submit 1                          | complete                      | 1
at another entry      | 10 submit 2                          | complete                      | 1
two entries at once   | 10 submit 2, 10 submit 1             | complete, complete            | 1
one entry twice       | 10 submit 2, 10 submit 2             | complete, complete            | 1
while it runs         | 10 submit 2, 60 submit 0             | complete, complete            | 1
when it is done       | 10 submit 0, 500 submit 2            | complete, complete            | 1
with another job      | 10 submit 2, 60 other-job 2          | key_reused not_run, complete  | 1
by another customer   | 10 stranger 2, 20 submit 2           | key_invalid not_run, complete | 1
";

const AUTHORITY_CRASH: &str = "
key issued            | 9 crash 0, 10 submit 2               | key_closed not_run            | 0
opening not sent      | 9 crash-within 0 1, 10 submit 2      | key_closed not_run            | 0
opening sent          | 9 block 1 0, 10 submit 2, 11 crash 0 | key_unresolved unknown        | 0
opening granted       | 9 block 0 2, 10 submit 2, 12 crash 0 | key_unresolved unknown        | 1
task sent             | 10 submit 2, 60 crash 0              | key_unresolved unknown        | 1
answer received       | 10 submit 2, 60 crash-within 0 0     | key_unresolved unknown        | 1
answer passed on      | 10 submit 2, 300 crash 0             | complete                      | 1
asked again           | 10 submit 2, 300 crash 0, 900 submit 1 | complete, key_unresolved unknown | 1
witness lost too      | 9 crash 0, 9 crash 1, 10 submit 2    | key_unresolved unknown        | 0
both lost later       | 10 submit 2, 60 crash 0, 60 crash 1  | key_unresolved unknown        | 1
restarted             | 9 crash 0, 10 start 0, 900 submit 0  | key_closed not_run            | 0
witness lost alone    | 9 crash-within 1 0, 10 submit 2      | key_closed not_run            | 0
witness lost later    | 10 submit 2, 60 crash 1              | complete                      | 1
";

const PAUSE: &str = "
before the opening    | 9 pause 0, 9 suspect 2 0, 10 submit 2, 3000 resume 0 | key_closed not_run | 0
then asked itself     | 9 pause 0, 9 suspect 2 0, 10 submit 2, 3000 resume 0, 3500 submit 0 | key_closed not_run, key_closed not_run | 0
while the job runs    | 10 submit 2, 60 pause 0, 70 suspect 2 0, 3000 resume 0, 4000 submit 0 | key_unresolved unknown, complete | 1
of the witness        | 9 pause 1, 10 submit 2, 3000 resume 1 | key_closed not_run           | 0
of the entry asked    | 10 submit 2, 11 pause 2, 3000 resume 2 | complete                    | 1
";

const PARTITION: &str = "
authority cut off     | 9 isolate 0, 10 submit 0             | key_closed not_run            | 0
the same, elsewhere   | 9 isolate 0, 10 submit 2             | key_closed not_run            | 0
not to the witness    | 9 block 0 1, 10 submit 2             | key_closed not_run            | 0
not from the witness  | 9 block 1 0, 10 submit 2             | key_closed not_run            | 0
not to the authority  | 9 block 2 0, 10 submit 2             | key_closed not_run            | 0
not from authority    | 9 block 0 2, 10 submit 2             | deadline_exceeded unknown     | 1
answer lost once      | 10 submit 2, 50 block 0 2, 200 unblock 0 2 | complete                | 1
";

const DRAIN: &str = "
asked at the heir     | 10 drain 0, 400 submit 1             | complete                      | 1
asked elsewhere       | 10 drain 0, 400 submit 2             | complete                      | 1
asked at the leaver   | 9 submit 2, 10 drain 0, 10 submit 0  | complete, complete            | 1
in the same instant   | 10 drain 0, 10 submit 0, 10 submit 2 | complete, complete            | 1
while the job runs    | 10 submit 2, 60 drain 0, 61 submit 2 | complete, complete            | 1
a resubmission later  | 10 submit 2, 60 drain 0, 900 submit 2 | complete, key_closed ran | 1
with many waiting     | 10 submit 0, 10 submit 1, 10 submit 2, 11 submit 2, 11 drain 0 | complete, complete, complete, complete | 1
of the entry asked    | 10 submit 2, 11 drain 2              | complete                      | 1
of the witness        | 10 drain 1, 900 submit 2             | key_closed not_run            | 0
of both at once       | 10 drain 0, 10 drain 1, 900 submit 2 | key_closed not_run            | 0
one after the other   | 10 drain 0, 500 drain 1, 900 submit 2 | key_closed not_run           | 0
both, after a job     | 10 submit 2, 300 drain 0, 300 drain 1, 900 submit 2 | complete, key_closed ran | 1
heir after a job      | 10 drain 0, 400 submit 2, 900 drain 1, 1500 submit 2 | complete, key_closed ran | 1
heir lost             | 10 drain 0, 20 crash 1, 900 submit 2 | key_unresolved unknown        | 0
heir out of reach     | 9 block 0 1, 10 drain 0, 20 submit 2 | key_closed not_run            | 0
";

const CANCELLATION: &str = "
before the job        | 10 cancel 2, 50 submit 2             | cancelled not_run, cancelled not_run | 0
after the job         | 10 submit 2, 500 cancel 1            | complete, complete            | 1
while it runs         | 10 submit 2, 60 cancel 1             | cancelled unknown, cancelled unknown | 1
authority gone        | 9 crash 0, 10 cancel 2, 900 submit 2 | key_closed not_run, key_closed not_run | 0
at the heir           | 10 drain 0, 400 cancel 2, 500 submit 2 | cancelled not_run, cancelled not_run | 0
during a drain        | 10 submit 2, 60 drain 0, 61 cancel 2 | cancelled unknown, cancelled unknown | 1
";

const CLOCK_STEP: &str = "
before the job        | 10 step 0 400000, 20 submit 2        | key_closed not_run            | 0
while it runs         | 10 submit 2, 60 step 0 400000, 70 submit 2 | complete, complete            | 1
";

const WITHOUT_PEERS: &str = "
at the authority      | 10 submit 0                          | complete                      | 1
after a restart       | 9 crash 0, 10 start 0, 20 submit 0   | key_unresolved unknown        | 0
";

/// Commands of one phrase such as `block 0 1`.
fn parse(phrase: &str) -> Vec<Command> {
    let words: Vec<_> = phrase.split_whitespace().collect();
    let number = |at: usize| {
        words
            .get(at)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    };
    let (first, second) = (number(1), number(2));
    let call = KeyCall {
        place: first,
        wait_millis: 1_500,
        ..KeyCall::default()
    };
    let command = match words[0] {
        "submit" => Command::Submit(call),
        "other-job" => Command::Submit(KeyCall { variant: 1, ..call }),
        "stranger" => Command::Submit(KeyCall {
            stranger: true,
            ..call
        }),
        "cancel" => Command::Cancel(call),
        "direct" => Command::SubmitDirect(first, call.wait_millis),
        "crash" => Command::Crash(first),
        "crash-within" => Command::CrashWithin(first, second),
        "start" => Command::Start(first),
        "pause" => Command::Pause(first, true),
        "resume" => Command::Resume(first),
        "drain" => Command::Drain(first),
        "suspect" => Command::Suspect(first, second),
        "block" => Command::Block(first, second),
        "unblock" => Command::Unblock(first, second),
        "step" => Command::StepClock(first, second as u64),
        "isolate" => {
            let pairs = (0..3).flat_map(|peer| [(first, peer), (peer, first)]);
            return pairs.map(|(from, to)| Command::Block(from, to)).collect();
        }
        other => panic!("no command: {other}"),
    };
    vec![command]
}

fn describe(answer: &outcome::JobAnswer) -> String {
    match answer {
        outcome::JobAnswer::Complete { .. } => "complete".to_owned(),
        outcome::JobAnswer::Failed(refusal) => format!("{} {}", refusal.code, refusal.ran),
    }
}

fn run(entries: usize, commands: &str) -> World {
    let limits = settings::LedgerLimits::default();
    let mut world = World::new(7, entries, limits, rules::RuleSet::whole());
    world.weather = Weather {
        run_millis: RUN_MILLIS,
        ..Weather::default()
    };
    world.at(1, Command::Fetch(0, 0, 1));
    for phrase in commands.split(", ") {
        let (at, phrase) = phrase.split_once(' ').expect("a time and a command");
        for command in parse(phrase) {
            world.at(at.parse().expect("a time"), command);
        }
    }
    world.run_until(END_MILLIS);
    world.check_end();
    world
}

fn check(entries: usize, table: &str) {
    for line in table.trim().lines() {
        let columns: Vec<_> = line.split('|').map(str::trim).collect();
        let [name, commands, replies, starts] = columns[..] else {
            panic!("not four columns: {line}");
        };
        let world = run(entries, commands);
        let seen: Vec<_> = world
            .replies
            .iter()
            .map(|(_, answer)| describe(answer))
            .collect();
        assert_eq!(seen.join(", "), replies, "{name}");
        assert_eq!(world.counts.starts.to_string(), starts, "{name}: starts");
        assert!(
            world.violations.is_empty(),
            "{name}: {:?}",
            world.violations
        );
    }
}

#[test]
fn a_job_costs_these_messages() {
    let cases = [
        ("no key", "10 direct 2", 0),
        ("at the authority", "10 submit 0", 2),
        ("at the witness", "10 submit 1", 5),
        ("at another entry", "10 submit 2", 5),
        ("again at the authority", "10 submit 0, 500 submit 0", 2),
        ("again at another entry", "10 submit 0, 500 submit 2", 4),
        ("authority gone", "9 crash 0, 1000 submit 2", 7),
        ("authority left", "9 drain 0, 1000 submit 2", 9),
    ];
    for (name, commands, messages) in cases {
        assert_eq!(run(3, commands).counts.messages, messages, "{name}");
    }
}

#[test]
fn the_same_key_gives_one_run_and_one_answer() {
    check(3, RESUBMISSION);
}

#[test]
fn a_crash_of_the_authority_leaves_a_truthful_answer() {
    check(3, AUTHORITY_CRASH);
}

#[test]
fn a_paused_process_wakes_up_fenced() {
    check(3, PAUSE);
}

#[test]
fn a_partition_leaves_a_truthful_answer() {
    check(3, PARTITION);
}

#[test]
fn a_drain_hands_the_keys_over() {
    check(3, DRAIN);
}

#[test]
fn a_cancelled_key_never_starts() {
    check(3, CANCELLATION);
}

#[test]
fn a_clock_step_only_expires_keys() {
    check(3, CLOCK_STEP);
}

#[test]
fn an_entry_without_peers_serves_its_own_keys_only() {
    check(1, WITHOUT_PEERS);
}
