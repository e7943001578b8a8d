//! Discovery: the client of the service that publishes the endpoint list.
//!
//! [`run`] watches the list for as long as the process serves. [`parse_list`] and [`endpoints_changed_event`] are pure;
//! the latter also converts the list that the configuration file contains.

pub mod backoff;
mod client;
mod endpoint_list;
pub mod watch_state;

pub use client::run;
pub use endpoint_list::{
    endpoints_changed_event, parse_endpoint, parse_list, EndpointError, ListError,
};
