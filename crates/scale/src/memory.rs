//! Resident memory of the core and the routing module against the number of replicas and streams.

use crate::core_steps::{CoreBench, MeasureError};
use crate::process;
use crate::results::MemoryUse;

/// Enough streams for their memory to be distinct from the allocator's own steps.
const STREAMS: u64 = 3_000;
/// The id of the first stream's request.
const FIRST_REQUEST: u64 = 1_000_000;

fn resident_bytes() -> f64 {
    process::sample_resources(std::process::id())
        .map_or(0.0, |sample| sample.resident_mb * 1024.0 * 1024.0)
}

fn growth(kind: &str, count: u64, before: f64, after: f64) -> MemoryUse {
    MemoryUse {
        kind: kind.into(),
        count,
        bytes_each: (after - before) / count as f64,
    }
}

/// Measures the memory of replicas and of open streams, one after the other in one core.
///
/// # Errors
///
/// Fails if the core cannot be configured.
pub fn measure(
    replicas: usize,
    dispatchers: u32,
    seed: u64,
) -> Result<Vec<MemoryUse>, MeasureError> {
    let mut bench = CoreBench::new(replicas, dispatchers, seed)?;
    let empty = resident_bytes();
    bench.send_first_list();
    let with_replicas = resident_bytes();
    bench.open_streams(FIRST_REQUEST, STREAMS);
    let with_streams = resident_bytes();
    Ok(vec![
        growth(
            "replica, in the core's table, the module and its index",
            replicas as u64,
            empty,
            with_replicas,
        ),
        growth(
            "open stream, in the core's table and the module",
            STREAMS,
            with_replicas,
            with_streams,
        ),
    ])
}
