//! Randomly drawn fleets of replicas: their roles, zones and racks. A rack is a cell of the routing module.

use quartzhall::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use rand::Rng;
use rand_pcg::Pcg32;

/// KV memory of a prefill replica, in tokens; the same as in the configuration of the dispatchers.
pub const PREFILL_KV_TOKENS: f64 = 600_000.0;
/// KV memory of a decode replica, in tokens; the same as in the configuration of the dispatchers.
pub const DECODE_KV_TOKENS: f64 = 400_000.0;

/// The parameters that a fleet is drawn from.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Number of replicas, prefill and decode together.
    pub replicas: usize,
    /// Number of zones, numbered from 0. Racks are assigned to them in turn, so that they are of about equal size.
    pub zones: u32,
    /// The smallest and the largest number of replicas in a rack; the last rack of a fleet may be smaller. A rack is
    /// in one zone, and has replicas of both roles if its size allows it.
    pub rack_size: (usize, usize),
    /// Share of the replicas in each rack that prefill, from 0 to 1.
    pub prefill_share: f64,
    /// Probability with which each replica is warming up at the start, from 0 to 1.
    pub warming_up_share: f64,
}

impl FleetShape {
    /// Returns the shape of the target fleet with this number of replicas, all of them warm.
    pub fn with_replicas(replicas: usize) -> FleetShape {
        FleetShape {
            replicas,
            zones: 15,
            rack_size: (4, 8),
            prefill_share: 0.25,
            warming_up_share: 0.0,
        }
    }
}

/// Returns the id of a replica in the lists of discovery.
pub fn replica_id(number: usize) -> String {
    format!("replica-{number}")
}

/// Returns the key that identifies a replica in gossip: the hash of its id, the same at every dispatcher.
pub fn replica_key(number: usize) -> u64 {
    quartzhall::config::fnv1a_hash(&replica_id(number))
}

/// Draws the list of replicas, rack by rack. Each rack has its share of prefill replicas and at least one, so that KV
/// caches can stay within the rack. `now` becomes the start time of the replicas that are warming up.
pub fn draw(shape: &FleetShape, now: Time, rng: &mut Pcg32) -> Vec<EndpointRecord> {
    let mut records = Vec::with_capacity(shape.replicas);
    let mut cell = 0;
    while records.len() < shape.replicas {
        let (min_size, max_size) = shape.rack_size;
        let size = rng
            .gen_range(min_size..=max_size)
            .min(shape.replicas - records.len());
        let prefill_replicas = ((size as f64 * shape.prefill_share).round() as usize).max(1);
        for slot in 0..size {
            let (role, kv_capacity_tokens) = if slot < prefill_replicas {
                (Role::Prefill, PREFILL_KV_TOKENS)
            } else {
                (Role::Decode, DECODE_KV_TOKENS)
            };
            let number = records.len();
            let is_warming_up = rng.gen_bool(shape.warming_up_share);
            records.push(EndpointRecord {
                endpoint: number as EndpointId,
                key: replica_key(number),
                role,
                kv_capacity_tokens,
                zone: cell % shape.zones.max(1),
                cell,
                status: EndpointStatus::Ready,
                started_at: is_warming_up.then_some(now),
            });
        }
        cell += 1;
    }
    records
}
