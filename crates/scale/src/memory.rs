//! Resident memory of the core and the module against counts of what they hold.

use crate::core_steps::Bench;
use crate::process;
use crate::results::MemoryUse;

/// Enough streams to be seen beside the allocator's own steps.
const STREAMS: u64 = 3_000;

fn resident_bytes() -> f64 {
    process::sample(std::process::id()).map_or(0.0, |it| it.resident_mb * 1024.0 * 1024.0)
}

/// Measures what replicas and open streams take, one after the other in one core.
pub fn measure(replicas: usize, dispatchers: u32, seed: u64) -> Result<Vec<MemoryUse>, String> {
    let mut bench = Bench::new(replicas, dispatchers, seed)?;
    let mut results = Vec::new();
    let mut before = resident_bytes();
    let mut note = |kind: &str, count: u64| {
        let now = resident_bytes();
        results.push(MemoryUse {
            kind: kind.into(),
            count,
            bytes_each: (now - before) / count as f64,
        });
        before = now;
    };
    bench.first_list();
    note(
        "replica, in the core's table, the module and its index",
        replicas as u64,
    );
    bench.open_streams(1_000_000, STREAMS);
    note("open stream, in the core's table and the module", STREAMS);
    Ok(results)
}
