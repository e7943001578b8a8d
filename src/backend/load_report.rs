//! Reads the load reports that endpoints send with responses, streams, session messages and probes.

use crate::routing::api::LoadReport;

/// Reads a load report such as `TEXT inflight=7, queue=2`. Unknown names and unreadable values are skipped; `None` when
/// no known value is left.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let text = text.trim();
    let text = text
        .strip_prefix("Endpoint-Load-Metrics:")
        .unwrap_or(text)
        .trim_start();
    let mut load = LoadReport::default();
    let mut has_values = false;
    for pair in text.strip_prefix("TEXT")?.split(',') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        let Ok(value) = value.trim().parse::<f64>() else {
            continue;
        };
        if !value.is_finite() {
            continue;
        }
        match name.trim() {
            "inflight" => load.in_flight = Some(value),
            "queue" => load.queued = Some(value),
            "x0" => load.kv_memory_share = Some(value),
            "x1" => load.pending_prefill_kilotokens = Some(value),
            _ => continue,
        }
        has_values = true;
    }
    has_values.then_some(load)
}
