//! Filled in the next commit.
