//! Discovery: the list of endpoints, and the watch on it.

pub mod backoff;
mod client;
pub mod watch_state;

pub use client::{endpoints_changed, parse_endpoint, parse_list, run};
