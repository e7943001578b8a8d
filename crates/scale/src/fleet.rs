//! A fleet of replicas as it is drawn for a measurement: roles, zones, racks.

use quartzhall::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use rand::Rng;
use rand_pcg::Pcg32;

/// Tokens that a reader's memory holds.
pub const READER_MEMORY: f64 = 600_000.0;
/// Tokens that a writer's memory holds.
pub const WRITER_MEMORY: f64 = 400_000.0;

/// What a fleet is drawn by.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Replicas, readers and writers together.
    pub replicas: usize,
    /// Zones, numbered from 0, of about equal size.
    pub zones: u32,
    /// The fewest and the most replicas in a rack. A rack is in one zone and has both roles where it can.
    pub rack: (usize, usize),
    /// Part of the replicas that read prompts.
    pub readers: f64,
    /// Part of the replicas that start cold.
    pub cold: f64,
}

impl Shape {
    /// The shape of the target fleet at another number of replicas.
    pub fn of(replicas: usize) -> Shape {
        Shape {
            replicas,
            zones: 15,
            rack: (4, 8),
            readers: 0.25,
            cold: 0.0,
        }
    }
}

/// Draws the list of replicas. Each rack has its share of readers, one at least, so that states can stay in it.
pub fn draw(shape: &Shape, now: Time, rng: &mut Pcg32) -> Vec<EndpointRecord> {
    let mut entries = Vec::with_capacity(shape.replicas);
    let mut cell = 0;
    while entries.len() < shape.replicas {
        let size = rng
            .gen_range(shape.rack.0..=shape.rack.1)
            .min(shape.replicas - entries.len());
        let readers = ((size as f64 * shape.readers).round() as usize).max(1);
        for place in 0..size {
            let role = if place < readers {
                Role::Prefill
            } else {
                Role::Decode
            };
            let server = entries.len() as EndpointId;
            let cold = rng.gen_bool(shape.cold);
            entries.push(EndpointRecord {
                endpoint: server,
                key: quartzhall::config::fnv1a_hash(&format!("replica-{server}")),
                role,
                kv_capacity_tokens: if role == Role::Prefill {
                    READER_MEMORY
                } else {
                    WRITER_MEMORY
                },
                zone: cell % shape.zones.max(1),
                cell,
                status: EndpointStatus::Ready,
                started_at: cold.then_some(now),
            });
        }
        cell += 1;
    }
    entries
}
