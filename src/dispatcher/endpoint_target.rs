//! The properties of an endpoint that the protocol rules depend on.

use crate::routing::api::{EndpointStatus, Role};

/// The properties of an attempt's endpoint, copied when the attempt starts: the endpoint may change or leave the list
/// while the attempt is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndpointTarget {
    pub role: Role,
    pub zone: u32,
    pub cell: u32,
    pub status: EndpointStatus,
}
