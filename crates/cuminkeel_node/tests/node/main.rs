//! Whole processes on the emulated platform, over loopback.

mod causes;
mod fleet;
mod frontend;
mod links;
mod logs;
mod parts;
mod recovery;
mod shards;
