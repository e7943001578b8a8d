//! The properties of an endpoint that the protocol rules depend on.

use crate::routing::api::{EndpointStatus, Role};

/// An endpoint as the rules see it, copied when an attempt starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndpointTarget {
    pub role: Role,
    pub zone: u32,
    pub cell: u32,
    pub status: EndpointStatus,
}
