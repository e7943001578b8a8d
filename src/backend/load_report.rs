//! Parses the load reports that endpoints send in response headers, streams, session messages and probe responses.

use crate::routing::api::LoadReport;

/// Parses a load report such as `TEXT inflight=7, queue=2`. Skips unknown names and invalid values. Returns `None` if
/// the report has another format or no valid value.
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
