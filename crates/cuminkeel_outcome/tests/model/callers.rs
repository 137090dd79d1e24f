//! Callers: fetch keys, submit, resubmit and cancel.

use std::{sync, time};

use cuminkeel_outcome::event;
use cuminkeel_types::{job, names};

use super::world::{Submission, Ticket, Token, World};

impl World {
    pub fn open_ticket(
        &mut self,
        place: usize,
        submission: Submission,
        cancels: bool,
        wait: time::Duration,
    ) -> Option<event::TicketId> {
        let now = self.now;
        let process = self.places[place]
            .as_mut()
            .filter(|process| !process.paused)?;
        let ticket = process.draw_ticket();
        let deadline = (process.clock(now) + wait).as_micros();
        self.tickets.insert(
            (process.incarnation, ticket),
            Ticket {
                submission,
                cancels,
                deadline,
                replied: false,
            },
        );
        Some(ticket)
    }

    pub fn fetch_keys(&mut self, place: usize, customer: u8, count: u32) {
        let nothing = Submission {
            token: usize::MAX,
            variant: 0,
            customer,
        };
        let wait = time::Duration::from_millis(1);
        if let Some(ticket) = self.open_ticket(place, nothing, false, wait) {
            let customer = customer_name(customer);
            self.feed(
                place,
                event::OutcomeEvent::KeysRequested {
                    ticket,
                    customer,
                    count,
                },
            );
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
            let keys = keys.into_iter().map(|text| Token {
                text,
                customer,
                authority,
            });
            self.tokens.extend(keys);
        }
    }

    pub fn submit(
        &mut self,
        place: usize,
        token: usize,
        variant: u8,
        stranger: bool,
        wait: time::Duration,
    ) {
        let Some(kept) = self.tokens.get(token) else {
            return;
        };
        let (text, customer) = (kept.text.clone(), kept.customer + u8::from(stranger));
        let submission = Submission {
            token,
            variant,
            customer,
        };
        if let Some(ticket) = self.open_ticket(place, submission, false, wait) {
            let spec = job_spec(submission, false, wait);
            let key = Some(text);
            self.feed(place, event::OutcomeEvent::Submitted { ticket, key, spec });
        }
    }

    pub fn cancel(&mut self, place: usize, token: usize, deadline: time::Duration) {
        let Some(kept) = self.tokens.get(token) else {
            return;
        };
        let (key, customer) = (kept.text.clone(), kept.customer);
        let submission = Submission {
            token,
            variant: 0,
            customer,
        };
        if let Some(ticket) = self.open_ticket(place, submission, true, deadline) {
            let customer = customer_name(customer);
            let event = event::OutcomeEvent::CancelRequested {
                ticket,
                customer,
                key,
                deadline,
            };
            self.feed(place, event);
        }
    }

    pub fn submit_direct(&mut self, place: usize, wait: time::Duration) {
        self.directs += 1;
        let token = 1_000_000 + self.directs;
        let submission = Submission {
            token,
            variant: 0,
            customer: 0,
        };
        if let Some(ticket) = self.open_ticket(place, submission, false, wait) {
            let spec = job_spec(submission, true, wait);
            self.feed(
                place,
                event::OutcomeEvent::Submitted {
                    ticket,
                    key: None,
                    spec,
                },
            );
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

pub fn job_spec(
    submission: Submission,
    idempotent: bool,
    deadline: time::Duration,
) -> sync::Arc<job::JobSpec> {
    let task = job::TaskSpec {
        class: "price".into(),
        size_millicores: 100,
        declared_run_time: time::Duration::from_millis(100),
        payload: format!(
            "{} {} {}",
            submission.token, submission.variant, submission.customer
        )
        .into(),
    };
    sync::Arc::new(job::JobSpec {
        customer: customer_name(submission.customer),
        idempotent,
        deadline,
        tasks: vec![task; task_count(submission)],
    })
}

pub fn submission_of(spec: &job::JobSpec) -> Submission {
    let mut numbers = spec.tasks[0]
        .payload
        .split(' ')
        .map(|part| part.parse().unwrap_or(0));
    let mut next = || numbers.next().unwrap_or(0);
    Submission {
        token: next(),
        variant: u8::try_from(next()).unwrap_or(0),
        customer: u8::try_from(next()).unwrap_or(0),
    }
}
