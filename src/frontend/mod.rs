//! The frontends: they translate between the dispatcher and the protocols of clients, operators and load balancers.
//!
//! Frontends own their connections and sessions. The dispatcher owns the state of all requests and makes every decision
//! about them.

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
mod request_body;
mod request_service;
pub mod websocket;

/// The progress of a process's shutdown. The phases are ordered, and a process never returns to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// New connections are accepted.
    Serving,
    /// A successor process accepts new connections; open ones are closed after their next response.
    Draining,
    /// Idle connections are closed at once, the others after the requests in flight.
    Closing,
    /// The process may soon be killed: requests that have not arrived completely are refused.
    Ending,
}
