//! Gossip: UDP messages in which dispatchers report the load and the failures of endpoints to each other.
//!
//! [`Gossip`] decides what to send and which received messages to accept; the dispatcher's core owns it.
//! [`transport::GossipTransport`] owns the socket. `message` defines the message format, `budget` limits the bytes
//! sent.

mod budget;
mod message;
mod state;
pub mod transport;

pub use message::{gossip_key, DropReason, Observation, MAX_DATAGRAM_BYTES};
pub use state::Gossip;
