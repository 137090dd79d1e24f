//! The safety rules by name, so that a test can break one at a time.
//!
//! Products use [`RuleSet::whole`]; nothing in the settings reaches this type.

use derive_more::Display;

/// A rule whose breach the model test must catch.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum OutcomeRule {
    /// A job starts only after the witness has granted its opening.
    AwaitWitness,
    /// A witness refuses to grant a key that it has closed.
    RefuseClosed,
    /// A witness remembers that it closed a key.
    RememberClose,
    /// A witness remembers that it granted an opening.
    RememberOpen,
    /// An authority opens a key that it has seen before no second time.
    OpenOnce,
    /// A key whose opening timed out is closed for good.
    CloseUnwitnessed,
    /// An opened key whose authority is gone is answered `unknown`.
    DoubtOpened,
    /// A key without a witness whose authority is gone is answered `unknown`.
    DoubtUnwitnessed,
    /// A witness that has forgotten a key never calls it unopened.
    DoubtForgotten,
    /// An authority that has forgotten a key never opens it.
    FloorAuthority,
    /// An authority that has handed over opens no key any more.
    FreezeHandover,
    /// A hand-over lists the keys that the authority has closed.
    ListClosed,
    /// A hand-over lists the keys whose opening is under way.
    ListOpening,
    /// A hand-over tells which keys have expired.
    ListExpired,
    /// A leaving witness grants and opens no key any more.
    FreezeWitness,
    /// A farewell lists the keys that were opened.
    ListOpened,
    /// An heir opens no key that was opened or closed before.
    HeirRecords,
    /// A key belongs to one customer.
    BindCustomer,
    /// A key belongs to one job.
    BindDigest,
    /// An answer is accepted only for the ticket, key, job and sender it belongs to.
    MatchAnswer,
    /// A complete answer has one output for each task.
    WholeAnswer,
    /// A ticket is answered by its deadline.
    AnswerDeadline,
    /// A ticket is answered once.
    AnswerOnce,
}

impl OutcomeRule {
    /// All rules.
    pub const ALL: [Self; 23] = [
        Self::AwaitWitness,
        Self::RefuseClosed,
        Self::RememberClose,
        Self::RememberOpen,
        Self::OpenOnce,
        Self::CloseUnwitnessed,
        Self::DoubtOpened,
        Self::DoubtUnwitnessed,
        Self::DoubtForgotten,
        Self::FloorAuthority,
        Self::FreezeHandover,
        Self::ListClosed,
        Self::ListOpening,
        Self::ListExpired,
        Self::FreezeWitness,
        Self::ListOpened,
        Self::HeirRecords,
        Self::BindCustomer,
        Self::BindDigest,
        Self::MatchAnswer,
        Self::WholeAnswer,
        Self::AnswerDeadline,
        Self::AnswerOnce,
    ];
}

/// The rules in force: all, or all but one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleSet {
    broken: Option<OutcomeRule>,
}

impl RuleSet {
    /// All rules.
    pub const fn whole() -> Self {
        Self { broken: None }
    }

    /// All rules but one. For tests only.
    #[doc(hidden)]
    pub const fn without(rule: OutcomeRule) -> Self {
        Self { broken: Some(rule) }
    }

    /// Whether a rule is in force.
    pub(crate) fn keeps(self, rule: OutcomeRule) -> bool {
        self.broken != Some(rule)
    }
}
