//! Discovery: the list of endpoints and the watch on it.
//!
//! [`run`] owns the watch for as long as the process serves; [`parse_list`] and [`endpoints_changed_event`] are pure and also
//! serve the list that a configuration brings along.

pub mod backoff;
mod client;
mod endpoint_list;
pub mod watch_state;

pub use client::run;
pub use endpoint_list::{
    endpoints_changed_event, parse_endpoint, parse_list, EndpointError, ListError,
};
