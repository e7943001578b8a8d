//! The frontends: each translates between its clients' protocol and the dispatcher, and makes no decisions.
//!
//! The state of requests is the dispatcher's; the frontends own their connections and sessions.

pub mod admin;
mod admission;
mod client_socket;
mod connection;
mod discarded_head;
pub mod health_check;
pub mod http;
pub mod identifiers;
pub mod listener;
pub mod memory_budget;
mod request_service;
pub mod websocket;

/// How far a process is in its shutdown. The phases are in order: a process never goes back to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// New connections are accepted.
    Serving,
    /// A successor accepts new connections; open ones are closed with their next response.
    Draining,
    /// Idle connections are closed, and the others when their requests end.
    Closing,
}
