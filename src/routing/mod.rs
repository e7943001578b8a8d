//! Routing: selects an endpoint for each request, and decides on retries, hedged requests and load shedding.
//!
//! The module does no I/O and reads no clock. The caller owns a [`Router`], passes it events with the current
//! time, and executes the actions that it returns.

pub mod api;
mod candidate_index;
mod prefix_cache_index;
mod router;
mod token_bucket;

pub use router::Router;
