//! The decision module: which endpoint serves a request, and what is retried, hedged or shed. Pure: no I/O
//! and no clock. The caller owns a [`Router`], hands it events and carries out the actions that it returns.

pub mod api;
mod candidate_index;
mod prefix_cache_index;
mod router;
mod token_bucket;

pub use router::Router;
