//! Divides the limits of a dispatcher (connections, memory for bodies) among its processes. The module does no I/O and
//! reads no clock.
//!
//! Shares are counted in units of which [`SHARE_UNITS`] are the whole. Invariant: the announced shares never add up to
//! more than the whole, in whatever order processes update their announcements and exit. It holds because
//!
//! * a process starts with [`STARTING_SHARE`], which a process that is alone leaves free;
//! * a process that has a successor never raises its share;
//! * the youngest process takes no more than the announcements of the others leave.
//!
//! Two processes together use the whole. A third one that starts beside them exceeds it by [`STARTING_SHARE`] until the
//! second has lowered its share. This is accepted, as an upgrade is expected to start only after the previous one has
//! ended.

pub use super::process_announcement::{ProcessAnnouncement, ProcessState};
use crate::net::adjustable_semaphore::SHARE_UNITS;

/// The share of a process that starts beside another one. A process that is alone leaves it free for that.
pub const STARTING_SHARE: u32 = 1;
/// The share of a process that is alone, which is the largest that any process can have.
pub const MAX_SHARE: u32 = SHARE_UNITS - STARTING_SHARE;
/// Maximum share of a process that has a successor and is not leaving yet.
const SERVING_PREDECESSOR_SHARE: u32 = 7;
/// Maximum share of a process that has a successor and is leaving.
const LEAVING_PREDECESSOR_SHARE: u32 = 4;

/// Returns the share to which a process should lower or raise its limits, in units of which [`SHARE_UNITS`] are the
/// whole. `own` and `others` are the announcements of this process and of the other live ones. The module's description
/// states the invariant that the result keeps.
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
