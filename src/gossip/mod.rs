//! What dispatchers tell each other about endpoints: the state and message format, and the datagrams that carry it.

mod state;
pub mod transport;

pub use state::*;
