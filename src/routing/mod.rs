//! The decision module: which endpoint serves a request, and what is retried, hedged or shed. Pure: no I/O,
//! no clock.

pub mod api;
mod candidate_index;
mod prefix_cache_index;
mod router;
mod token_bucket;

pub use router::Router;
