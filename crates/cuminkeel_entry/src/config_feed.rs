//! Where the rest of the entry finds the lists in force.

use std::{fmt, sync, time};

use tokio::sync::watch;

use crate::config_view;

/// The lists in force, and how old they may be.
pub trait ConfigSource: fmt::Debug + Send + Sync {
    /// The lists in force.
    fn view(&self) -> sync::Arc<config_view::ConfigView>;

    /// Time since the lists were last known to be the newest; none before that.
    fn age(&self) -> Option<time::Duration>;

    /// Is told of each change.
    fn subscribe(&self) -> watch::Receiver<sync::Arc<config_view::ConfigView>>;
}
