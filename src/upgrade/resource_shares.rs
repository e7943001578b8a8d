//! How the processes of one dispatcher divide its limits (connections, memory for bodies). Pure: no clock, no file.
//!
//! Shares are counted in units of which [`SHARE_UNITS`] are the whole. The invariant: while processes update their
//! announcements and end in any order, the announced shares never add up to more than the whole. It holds because
//!
//! * a process that starts takes [`STARTING_SHARE`], which a process that was alone has left free;
//! * a process that has a successor never raises its share;
//! * the youngest process takes no more than what the others' announcements leave.
//!
//! Two processes together use the whole. One more that starts beside them therefore takes its [`STARTING_SHARE`] beyond
//! it, until the second has lowered its share; a start is expected only when the previous upgrade is over.

pub use super::process_announcement::{ProcessAnnouncement, ProcessState};
use crate::net::adjustable_semaphore::SHARE_UNITS;

/// The share of a process that starts beside another one, which leaves it free for that.
pub const STARTING_SHARE: u32 = 1;
/// The share of a process that is alone: the largest that any process has.
pub const MAX_SHARE: u32 = SHARE_UNITS - STARTING_SHARE;
/// The share of a process that has a successor and does not leave yet.
const SERVING_PREDECESSOR_SHARE: u32 = 7;
/// The share of a process that has a successor and drains.
const LEAVING_PREDECESSOR_SHARE: u32 = 4;

/// The share that a process should lower or raise its limits to, in units of [`SHARE_UNITS`], given what it and the
/// others have announced. See the module for the invariant that this keeps.
pub fn target_share(own: &ProcessAnnouncement, others: &[ProcessAnnouncement]) -> u32 {
    if others.is_empty() {
        return MAX_SHARE;
    }
    let has_successor = others
        .iter()
        .any(|other| other.started_at >= own.started_at);
    if has_successor {
        let predecessor_share = match own.state {
            ProcessState::Leaving => LEAVING_PREDECESSOR_SHARE,
            ProcessState::Starting | ProcessState::Serving => SERVING_PREDECESSOR_SHARE,
        };
        return predecessor_share.min(own.share.max(STARTING_SHARE));
    }
    let announced_by_others: u32 = others.iter().map(|other| other.share).sum();
    SHARE_UNITS
        .saturating_sub(announced_by_others)
        .max(STARTING_SHARE)
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/resource_shares.rs"]
mod tests;
