//! The fronts: each turns its wire into core requests and core answers into its wire, and decides nothing.

pub mod admin;
mod connection;
pub mod health_check;
pub mod http;
pub mod identifiers;
pub mod listener;
pub mod memory_budget;
pub mod websocket;

/// How far a dispatcher is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// It serves.
    Serving,
    /// It takes no new connections, for a successor does; answers end those that it has.
    Draining,
    /// What is idle is closed, and what is open is ended.
    Closing,
}
