//! Gossip: what dispatchers report to each other about endpoints.
//!
//! [`Gossip`] decides what to send and which received messages to accept, and is owned by the dispatcher's core;
//! [`transport::GossipTransport`] owns the socket. The message format is in `message`, the byte budget in `budget`.

mod budget;
mod message;
mod state;
pub mod transport;

pub use message::{gossip_key, DropReason, Observation, MAX_DATAGRAM_BYTES};
pub use state::Gossip;
