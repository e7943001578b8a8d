//! Randomly drawn fleets of replicas: roles, zones and racks.

use quartzhall::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use rand::Rng;
use rand_pcg::Pcg32;

/// KV memory of a prefill replica, in tokens.
pub const PREFILL_KV_TOKENS: f64 = 600_000.0;
/// KV memory of a decode replica, in tokens.
pub const DECODE_KV_TOKENS: f64 = 400_000.0;

/// What a fleet is drawn by.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Replicas, prefill and decode together.
    pub replicas: usize,
    /// Zones, numbered from 0, of about equal size.
    pub zones: u32,
    /// The smallest and the largest number of replicas in a rack. A rack is in one zone and has both roles where it can.
    pub rack_size: (usize, usize),
    /// Share of the replicas that prefill.
    pub prefill_share: f64,
    /// Share of the replicas that are warming up at the start.
    pub warming_up_share: f64,
}

impl FleetShape {
    /// The shape of the target fleet at another number of replicas.
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

/// The id of a replica, as discovery lists it.
pub fn replica_id(number: usize) -> String {
    format!("replica-{number}")
}

/// The key by which dispatchers name a replica to each other.
pub fn replica_key(number: usize) -> u64 {
    quartzhall::config::fnv1a_hash(&replica_id(number))
}

/// Draws the list of replicas. Each rack has its share of prefill replicas, one at least, so that KV caches can stay in it.
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
