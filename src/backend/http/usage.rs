//! Reads what endpoints report beside the completion: token counts and load, in headers, prefill responses and the
//! last lines of a stream.

use crate::backend::load_report::parse_load_report;
use crate::routing::api::LoadReport;
use hyper::HeaderMap;
use miniserde::{json, Deserialize};

/// Prompt tokens found in the prefix cache, in a prefill response and in a stream's usage chunk.
#[derive(Deserialize)]
struct CachedTokens {
    cached_tokens: Option<f64>,
}

#[derive(Deserialize)]
struct CompletionUsage {
    completion_tokens: Option<f64>,
    prompt_tokens_details: Option<CachedTokens>,
}

/// The last chunk of a stream, which carries the usage.
#[derive(Deserialize)]
struct UsageChunk {
    usage: Option<CompletionUsage>,
}

/// What the last lines of a stream report.
#[derive(Default)]
pub struct StreamReport {
    /// Prompt tokens found in the prefix cache; 0 where that is not reported.
    pub cached_tokens: f64,
    /// Tokens of the completion; 0 where that is not reported.
    pub completion_tokens: f64,
    /// The endpoint's load.
    pub load: Option<LoadReport>,
}

/// Reads the last bytes of a stream, which may begin in the middle of a line.
pub fn parse_stream_tail(tail: &[u8]) -> StreamReport {
    let mut report = StreamReport::default();
    for line in String::from_utf8_lossy(tail).lines() {
        if let Some(comment) = line.strip_prefix(':') {
            report.load = parse_load_report(comment).or(report.load);
        } else if let Some(data) = line.strip_prefix("data:") {
            if data.contains("\"usage\"") {
                read_usage(data.trim(), &mut report);
            }
        }
    }
    report
}

fn read_usage(data: &str, report: &mut StreamReport) {
    let Ok(UsageChunk { usage: Some(usage) }) = json::from_str::<UsageChunk>(data) else {
        return;
    };
    if let Some(tokens) = usage.completion_tokens {
        report.completion_tokens = tokens;
    }
    let details = usage.prompt_tokens_details;
    if let Some(tokens) = details.and_then(|details| details.cached_tokens) {
        report.cached_tokens = tokens;
    }
}

/// The prefix-cache hit that a prefill response reports, in tokens; 0 where it reports none.
pub(super) fn parse_cached_tokens(body: &[u8]) -> f64 {
    let Ok(text) = std::str::from_utf8(body) else {
        return 0.0;
    };
    let parsed = json::from_str::<CachedTokens>(text).ok();
    parsed.and_then(|body| body.cached_tokens).unwrap_or(0.0)
}

/// The load report in a response's headers.
pub(super) fn load_from_headers(headers: &HeaderMap) -> Option<LoadReport> {
    parse_load_report(headers.get("endpoint-load-metrics")?.to_str().ok()?)
}
