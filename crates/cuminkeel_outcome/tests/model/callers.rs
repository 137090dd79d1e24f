//! Callers: fetch keys, submit, resubmit and cancel.

use std::{sync, time};

use cuminkeel_outcome::event;
use cuminkeel_types::{job, names};

use super::world::{KeyCall, MILLI, Submission, Ticket, Token, World};

impl World {
    fn open_ticket(
        &mut self,
        place: usize,
        submission: Submission,
        cancels: bool,
        wait_millis: u64,
    ) -> Option<event::TicketId> {
        let now = self.now;
        let process = self.places[place].as_mut();
        let process = process.filter(|process| !process.paused)?;
        let ticket = process.draw_ticket();
        let opened = Ticket {
            submission,
            cancels,
            deadline: process.clock(now).as_micros() + wait_millis * MILLI,
            replied: false,
        };
        self.tickets.insert((process.incarnation, ticket), opened);
        Some(ticket)
    }

    pub fn fetch_keys(&mut self, place: usize, customer: u8, count: usize) {
        let count = u32::try_from(count).unwrap_or(1);
        let nothing = Submission::new(usize::MAX, 0, customer);
        if let Some(ticket) = self.open_ticket(place, nothing, false, 1) {
            let customer = customer_name(customer);
            let event = event::OutcomeEvent::KeysRequested {
                ticket,
                customer,
                count,
            };
            self.feed(place, event);
        }
    }

    pub fn keep_keys(
        &mut self,
        authority: names::IncarnationId,
        ticket: event::TicketId,
        keys: Vec<sync::Arc<str>>,
    ) {
        if let Some(ticket) = self.tickets.get_mut(&(authority, ticket)) {
            ticket.replied = true;
            let customer = ticket.submission.customer;
            let keep = |text| Token {
                text,
                customer,
                authority,
            };
            self.tokens.extend(keys.into_iter().map(keep));
        }
    }

    pub fn submit(&mut self, call: KeyCall) {
        let Some(token) = self.tokens.get(call.token) else {
            return;
        };
        let key = Some(token.text.clone());
        let customer = token.customer + u8::from(call.stranger);
        let submission = Submission::new(call.token, call.variant, customer);
        if let Some(ticket) = self.open_ticket(call.place, submission, false, call.wait_millis) {
            let spec = job_spec(submission, false, call.wait_millis);
            let event = event::OutcomeEvent::Submitted { ticket, key, spec };
            self.feed(call.place, event);
        }
    }

    pub fn cancel(&mut self, call: KeyCall) {
        let Some(token) = self.tokens.get(call.token) else {
            return;
        };
        let key = token.text.clone();
        let customer = customer_name(token.customer);
        let submission = Submission::new(call.token, 0, token.customer);
        if let Some(ticket) = self.open_ticket(call.place, submission, true, call.wait_millis) {
            let deadline = time::Duration::from_millis(call.wait_millis);
            let event = event::OutcomeEvent::CancelRequested {
                ticket,
                customer,
                key,
                deadline,
            };
            self.feed(call.place, event);
        }
    }

    pub fn submit_direct(&mut self, place: usize, wait_millis: u64) {
        self.directs += 1;
        let submission = Submission::new(1_000_000 + self.directs, 0, 0);
        if let Some(ticket) = self.open_ticket(place, submission, false, wait_millis) {
            let spec = job_spec(submission, true, wait_millis);
            let event = event::OutcomeEvent::Submitted {
                ticket,
                key: None,
                spec,
            };
            self.feed(place, event);
        }
    }
}

pub fn customer_name(customer: u8) -> names::CustomerName {
    names::CustomerName::new(format!("customer-{customer}"))
}

pub fn output_of(submission: Submission, index: usize) -> sync::Arc<str> {
    format!("{submission:?}#{index}").into()
}

pub fn task_count(submission: Submission) -> usize {
    1 + submission.token % 3
}

fn job_spec(submission: Submission, idempotent: bool, wait_millis: u64) -> sync::Arc<job::JobSpec> {
    let (token, variant) = (submission.token, submission.variant);
    let task = job::TaskSpec {
        class: "price".into(),
        size_millicores: 100,
        declared_run_time: time::Duration::from_millis(100),
        payload: format!("{token} {variant} {}", submission.customer).into(),
    };
    sync::Arc::new(job::JobSpec {
        customer: customer_name(submission.customer),
        idempotent,
        deadline: time::Duration::from_millis(wait_millis),
        tasks: vec![task; task_count(submission)],
        trace_parent: None,
    })
}

pub fn submission_of(spec: &job::JobSpec) -> Submission {
    let mut parts = spec.tasks[0].payload.split(' ');
    let mut next = || parts.next().and_then(|part| part.parse().ok()).unwrap_or(0);
    let (token, variant, customer) = (next(), next(), next());
    let narrow = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    Submission::new(token, narrow(variant), narrow(customer))
}
