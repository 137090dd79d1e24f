//! Answers of backend servers that reach the pool late, lost, doubled or crossed with others: each belongs to one order.

use std::{collections::BTreeMap, sync::Arc, time};

use cuminkeel_dispatch::{pool_action, server_model};
use proptest::strategy::{self, Strategy as _};

use crate::{fixtures, order_test};

/// Guards against a run that counts as lost, and a task that runs twice, as the answer to one hold is taken for that to
/// another with the same token: a claim that a failed start repeats while its first attempt is on its way. The answer
/// to the first comes after the second was sent, that to the second after the next hold; a run may have started meanwhile.
#[test]
fn answer_to_a_hold_is_not_taken_for_that_to_a_later_one_with_its_token() {
    for has_run_between in [false, true] {
        let mut test = order_test::OrderTest::leading(&["s1"], fixtures::LONG_RUN);
        test.submit("a", 1, 1);
        test.submit("b", 1, 2);
        let (start_a, start_b) = (test.take_start("a"), test.take_start("b"));
        test.deliver(start_a.without_response());
        test.orders.retain(
            |order| !matches!(order, order_test::Order::Hold(hold) if hold.wait > time::Duration::ZERO),
        );
        let first = test.take_hold("s1");
        test.deliver(start_b.without_response());
        test.advance(fixtures::ms(40));
        let second = test.take_hold("s1");
        assert_eq!(first.token(), second.token());
        let first_answer = test.carry_out(first);
        let second_answer = test.carry_out(second);
        test.deliver(first_answer);
        let mut early_answers = vec![second_answer];
        if let Some(next) = test.take_order(|order| matches!(order, order_test::Order::Hold(_))) {
            early_answers.push(test.carry_out(next));
        }
        if has_run_between {
            test.now += fixtures::ms(1);
            while let Some(start) =
                test.take_order(|order| matches!(order, order_test::Order::Start(_)))
            {
                test.answer(start);
            }
        }
        test.now += fixtures::ms(1);
        for answer in early_answers {
            test.deliver(answer);
            test.now += fixtures::ms(1);
        }
        let hold_count = test
            .orders
            .iter()
            .filter(|order| matches!(order, order_test::Order::Hold(_)))
            .count();
        assert_eq!(
            hold_count, 1,
            "holds on their way, run between: {has_run_between}"
        );
        for _ in 0..10 {
            while let Some(start) =
                test.take_order(|order| matches!(order, order_test::Order::Start(_)))
            {
                test.answer(start);
            }
            test.answer_holds();
            test.advance(fixtures::ms(20));
        }
        test.assert_sound();
        let run_ids: Vec<u64> = test.servers["s1"]
            .runs
            .values()
            .map(|run| run.run_id)
            .collect();
        assert_eq!(run_ids, [2, 2], "run between: {has_run_between}");
    }
}

/// Guards against a run that counts as lost, and a task that runs twice, as the answer to a hold is taken for that to the
/// claim that repeats its token: the hold was answered before the run started, the claim was sent after it.
#[test]
fn answer_to_a_hold_is_not_taken_for_that_to_a_repeated_claim_with_its_token() {
    let mut test = order_test::OrderTest::leading(&["s1"], fixtures::LONG_RUN);
    test.submit("a", 1, 1);
    test.submit("b", 1, 2);
    let (start_a, start_b) = (test.take_start("a"), test.take_start("b"));
    test.orders.clear();
    test.deliver(start_a.without_response());
    let claim = test.take_hold("s1");
    // The claim is to be repeated, although its first attempt is granted before that.
    test.deliver(start_b.without_response());
    test.answer(claim);
    let hold = test.take_hold("s1");
    let hold_token = hold.token();
    let early_answer = test.carry_out(hold);
    for job in ["a", "b"] {
        test.now += fixtures::ms(1);
        let start = test.take_start(job);
        test.answer(start);
    }
    test.advance(fixtures::ms(40));
    let repeated_claim = test.take_hold("s1");
    assert_eq!(repeated_claim.token(), hold_token);
    test.deliver(early_answer);
    while let Some(start) = test.take_order(|order| matches!(order, order_test::Order::Start(_))) {
        test.answer(start);
    }
    test.answer(repeated_claim);
    test.assert_sound();
}

/// Guards against a run that counts as rejected, and a task that runs twice, as the answer to a start is taken for that to a
/// later one with its run id: the job was sent again to a pool that had given up its servers and claimed them anew.
#[test]
fn answer_to_a_start_is_not_taken_for_that_to_a_later_one_with_its_run_id() {
    let mut test = order_test::OrderTest::leading(&["s1", "s2"], fixtures::LONG_RUN);
    test.submit("a", 1, 1);
    let first = test.take_start("a");
    let server = Arc::clone(first.server());
    test.pool.step_down(test.now, "test");
    test.collect();
    test.orders.clear();
    test.lead();
    test.answer_holds();
    let first_answer = test.carry_out(first);
    assert!(matches!(
        first_answer,
        order_test::Answer::Start(_, server_model::StartOutcome::Fenced)
    ));
    test.submit("a", 1, 2);
    let second = test.take_start("a");
    assert_eq!(*second.server(), server);
    let second_answer = test.carry_out(second);
    test.now += fixtures::ms(1);
    test.deliver(first_answer);
    while let Some(start) = test.take_order(|order| matches!(order, order_test::Order::Start(_))) {
        test.answer(start);
    }
    test.deliver(second_answer);
    test.answer_holds();
    test.assert_sound();
}

/// Guards against a sound server that gets no starts for a while, as a stop of an earlier claim was not confirmed.
#[test]
fn unconfirmed_stop_of_an_earlier_claim_does_not_make_a_server_suspect() {
    let mut test = order_test::OrderTest::leading(&["s1", "s2"], fixtures::LONG_RUN);
    test.submit("a", 1, 1);
    let start = test.take_start("a");
    test.answer(start);
    test.pool
        .withdraw(&Arc::from("a"), pool_action::WaiterId(1), test.now);
    test.collect();
    let stop = test
        .take_order(|order| matches!(order, order_test::Order::Stop(_)))
        .expect("a stop of the run");
    test.pool.step_down(test.now, "test");
    test.collect();
    test.orders.clear();
    test.lead();
    test.answer_holds();
    let answer = test.carry_out(stop);
    assert!(matches!(
        answer,
        order_test::Answer::Stop(_, server_model::StopOutcome::Unconfirmed)
    ));
    test.deliver(answer);
    assert_eq!(test.suspect_count, 0);
}

/// Guards against a task that runs twice after its server has restarted: the first answer of the new incarnation told its
/// clock, and the leases on the earlier clock counted as ended at once.
#[test]
fn answer_of_a_restarted_server_does_not_end_the_leases_of_its_runs() {
    let mut test = order_test::OrderTest::leading(&["s1", "s2"], fixtures::LONG_RUN);
    test.submit("a", 1, 1);
    let start = test.take_start("a");
    let server = Arc::clone(start.server());
    let now = test.now;
    let restarted = test.servers.get_mut(&server).expect("a server of the test");
    restarted.restart(now);
    let entry = restarted.entry.clone();
    let answer = test.carry_out(start);
    test.pool.apply_registry_entry(entry, now);
    test.collect();
    test.deliver(answer);
    // The claim of the new incarnation gets no answer, and the leases end.
    for _ in 0..60 {
        test.advance(fixtures::ms(20));
        while let Some(next) = test.take_order(|order| matches!(order, order_test::Order::Start(_)))
        {
            test.answer(next);
        }
    }
    test.assert_sound();
    assert!(test.servers.values().any(|server| !server.runs.is_empty()));
}

/// Guards against a restarted server whose room is missing until the next usual read of the registry.
#[test]
fn report_of_a_new_incarnation_asks_for_its_registry_entry() {
    let mut test = order_test::OrderTest::leading(&["s1"], fixtures::LONG_RUN);
    let reads_before = test.registry_reads;
    let now = test.now;
    let server = test.servers.get_mut("s1").expect("a server of the test");
    server.restart(now);
    test.answer_holds();
    assert_eq!(test.registry_reads, reads_before + 1);
}

/// What happens next to a pool, its servers and the messages between them. Numbers choose among the messages on their way.
#[derive(Clone, Copy, Debug)]
enum MessageEvent {
    /// An order reaches its server. Its answer is on its way.
    Reach(usize),
    /// An order reaches its server, and the answer is lost.
    LoseAnswer(usize),
    /// An order is lost.
    LoseOrder(usize),
    /// An order counts as unanswered, and reaches its server later.
    DelayOrder(usize),
    /// A delayed order reaches its server.
    ReachLate(usize),
    /// The server rejects an order for no reason.
    Reject(usize),
    /// An answer reaches the pool.
    Deliver(usize),
    /// An answer reaches the pool, and does so again later.
    DeliverTwice(usize),
    /// Time passes, in ms.
    Pass(u64),
    /// The job with this number is sent, or sent again.
    Submit(usize),
    /// All callers of the job with this number leave.
    Withdraw(usize),
    /// The process reconciles its claims.
    Lead,
    /// The process loses the leadership and gains it again.
    StepDown,
    /// A server restarts under its id. The orders on their way to it are lost with its connections.
    Restart(usize),
    /// The process reads the registry entry of a server.
    ReadEntry(usize),
}

/// Longest sequence of events of a case.
const EVENTS_PER_CASE: usize = 120;
const JOBS: [&str; 3] = ["a", "b", "c"];
const SERVERS: [&str; 2] = ["s1", "s2"];

/// Messages of which the test decides when they arrive.
#[derive(Default)]
struct MessageDeck {
    answers: Vec<order_test::Answer>,
    late_orders: Vec<order_test::Order>,
    waiter_count: u64,
    waiters: BTreeMap<&'static str, Vec<pool_action::WaiterId>>,
}

fn take<T>(items: &mut Vec<T>, number: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(number % items.len()))
}

impl MessageDeck {
    fn apply(&mut self, event: MessageEvent, test: &mut order_test::OrderTest) {
        match event {
            MessageEvent::Reach(number) => {
                if let Some(order) = take(&mut test.orders, number) {
                    self.answers.push(test.carry_out(order));
                }
            }
            MessageEvent::LoseAnswer(number) => {
                if let Some(order) = take(&mut test.orders, number) {
                    self.answers.push(order.clone().without_response());
                    test.carry_out(order);
                }
            }
            MessageEvent::LoseOrder(number) => {
                if let Some(order) = take(&mut test.orders, number) {
                    self.answers.push(order.without_response());
                }
            }
            MessageEvent::DelayOrder(number) => {
                if let Some(order) = take(&mut test.orders, number) {
                    self.answers.push(order.clone().without_response());
                    self.late_orders.push(order);
                }
            }
            MessageEvent::ReachLate(number) => {
                if let Some(order) = take(&mut self.late_orders, number) {
                    test.carry_out(order);
                }
            }
            MessageEvent::Reject(number) => {
                if let Some(order) = take(&mut test.orders, number) {
                    self.answers.push(test.reject(order));
                }
            }
            MessageEvent::Deliver(number) => {
                if let Some(answer) = take(&mut self.answers, number) {
                    test.deliver(answer);
                }
            }
            MessageEvent::DeliverTwice(number) => {
                if let Some(answer) = take(&mut self.answers, number) {
                    test.deliver(answer.clone());
                    self.answers.push(answer);
                }
            }
            MessageEvent::Pass(duration_ms) => test.advance(fixtures::ms(duration_ms)),
            MessageEvent::Submit(number) => {
                let job = JOBS[number % JOBS.len()];
                self.waiter_count += 1;
                test.submit(job, 2, self.waiter_count);
                let waiter = pool_action::WaiterId(self.waiter_count);
                self.waiters.entry(job).or_default().push(waiter);
            }
            MessageEvent::Withdraw(number) => {
                let job = JOBS[number % JOBS.len()];
                for waiter in self.waiters.remove(job).unwrap_or_default() {
                    test.pool.withdraw(&Arc::from(job), waiter, test.now);
                    test.collect();
                }
            }
            MessageEvent::Lead => test.lead(),
            MessageEvent::StepDown => {
                test.pool.step_down(test.now, "test");
                test.collect();
                test.lead();
            }
            MessageEvent::Restart(number) => {
                let name = SERVERS[number % SERVERS.len()];
                let is_there = |order: &mut order_test::Order| **order.server() == *name;
                self.late_orders.retain_mut(|order| !is_there(order));
                let lost_orders = test.orders.extract_if(.., is_there);
                self.answers
                    .extend(lost_orders.map(order_test::Order::without_response));
                let server = test.servers.get_mut(name);
                server.expect("a server of the test").restart(test.now);
            }
            MessageEvent::ReadEntry(number) => {
                let entry = test.servers[SERVERS[number % SERVERS.len()]].entry.clone();
                test.pool.apply_registry_entry(entry, test.now);
                test.collect();
            }
        }
    }
}

fn message_event() -> impl strategy::Strategy<Value = MessageEvent> {
    let number = 0_usize..8;
    proptest::prop_oneof![
        12 => number.clone().prop_map(MessageEvent::Reach),
        3 => number.clone().prop_map(MessageEvent::LoseAnswer),
        1 => number.clone().prop_map(MessageEvent::LoseOrder),
        3 => number.clone().prop_map(MessageEvent::DelayOrder),
        2 => number.clone().prop_map(MessageEvent::ReachLate),
        2 => number.clone().prop_map(MessageEvent::Reject),
        12 => number.clone().prop_map(MessageEvent::Deliver),
        3 => number.clone().prop_map(MessageEvent::DeliverTwice),
        6 => (1_u64..120).prop_map(MessageEvent::Pass),
        4 => number.clone().prop_map(MessageEvent::Submit),
        1 => number.clone().prop_map(MessageEvent::Withdraw),
        2 => strategy::Just(MessageEvent::Lead),
        1 => strategy::Just(MessageEvent::StepDown),
        1 => number.clone().prop_map(MessageEvent::Restart),
        1 => number.prop_map(MessageEvent::ReadEntry),
    ]
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: case_count(),
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against answers that are taken for those to other orders: whatever the order in which orders and answers
    /// arrive, and whichever of them are lost, late or doubled, no task has two runs at once, and each claim that is
    /// granted fences the starts that were sent before it.
    #[test]
    fn no_order_of_messages_runs_a_task_twice(
        events in proptest::collection::vec(message_event(), 1..EVENTS_PER_CASE)
    ) {
        let mut test = order_test::OrderTest::leading(&SERVERS, fixtures::LONG_RUN * 10);
        let mut deck = MessageDeck::default();
        for event in &events {
            deck.apply(*event, &mut test);
            proptest::prop_assert!(test.overlaps.is_empty(), "{:?}", test.overlaps);
            proptest::prop_assert!(test.unfenced_claims.is_empty(), "{:?}", test.unfenced_claims);
        }
    }
}

/// Returns the number of cases of the property test: that of `PROPTEST_CASES`, for runs by hand, or some that take a
/// few seconds.
fn case_count() -> u32 {
    let count = std::env::var("PROPTEST_CASES").ok();
    count.and_then(|count| count.parse().ok()).unwrap_or(2_000)
}
