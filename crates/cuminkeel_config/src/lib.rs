//! The two operator lists: customers' plans, and what each plan may use.

pub mod lists;
