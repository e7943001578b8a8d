//! The resident memory that the core and the routing module take for each replica and for each open stream.
//!
//! The resident memory of this process is read before and after many items of one kind are added to a core.

use crate::core_steps::{CoreBench, MeasureError};
use crate::process;
use crate::results::MemoryUse;

/// Number of requests that are sent to open streams: enough for the streams' memory to exceed the steps in which the allocator
/// grows. The core opens at most `most_held` of the settings at a time, and sheds the rest.
const OPEN_STREAMS: u64 = 3_000;
/// Request id of the first stream; the ids of the others count up from it.
const FIRST_REQUEST_ID: u64 = 1_000_000;

/// Returns the resident memory of this process in bytes; 0 if it cannot be read.
fn resident_bytes() -> f64 {
    process::sample_resources(std::process::id())
        .map_or(0.0, |sample| sample.resident_mb * 1024.0 * 1024.0)
}

fn memory_per_item(kind: &str, count: u64, before: f64, after: f64) -> MemoryUse {
    MemoryUse {
        kind: kind.into(),
        count,
        bytes_each: (after - before) / count as f64,
    }
}

/// Measures the memory of replicas and of open streams, one after the other in one core. `seed` draws the fleet.
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
    let without_replicas = resident_bytes();
    bench.send_first_list();
    let with_replicas = resident_bytes();
    bench.open_streams(FIRST_REQUEST_ID, OPEN_STREAMS);
    let with_streams = resident_bytes();
    Ok(vec![
        memory_per_item(
            "replica, in the core's table, the module and its index",
            replicas as u64,
            without_replicas,
            with_replicas,
        ),
        memory_per_item(
            "open stream, in the core's table and the module",
            OPEN_STREAMS,
            with_replicas,
            with_streams,
        ),
    ])
}
