//! Parses the token counts and load reports that endpoints send in headers, in prefill responses and in the last lines
//! of a stream.

use crate::backend::load_report::parse_load_report;
use crate::routing::api::LoadReport;
use hyper::HeaderMap;
use miniserde::{json, Deserialize};

/// The prompt tokens found in the prefix cache, as reported at the top level of prefill responses and within the usage
/// of a stream's last chunk.
#[derive(Deserialize)]
struct CachedTokens {
    cached_tokens: Option<f64>,
}

#[derive(Deserialize)]
struct CompletionUsage {
    completion_tokens: Option<f64>,
    prompt_tokens_details: Option<CachedTokens>,
}

/// A stream's last chunk, which reports the usage.
#[derive(Deserialize)]
struct UsageChunk {
    usage: Option<CompletionUsage>,
}

/// The usage and the load that the last lines of a stream report.
#[derive(Default)]
pub struct StreamReport {
    /// The prompt tokens found in the prefix cache; 0 if not reported.
    pub cached_tokens: f64,
    /// The tokens of the completion; 0 if not reported.
    pub completion_tokens: f64,
    /// The endpoint's load; `None` if not reported.
    pub load: Option<LoadReport>,
}

/// Parses the last bytes of a stream, which may start in the middle of a line.
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

/// Parses the body of a prefill response, a JSON object, and returns its `cached_tokens`: the prompt tokens found in
/// the prefix cache. 0 if the body reports none or is not valid.
pub(super) fn parse_cached_tokens(body: &[u8]) -> f64 {
    let Ok(text) = std::str::from_utf8(body) else {
        return 0.0;
    };
    let parsed = json::from_str::<CachedTokens>(text).ok();
    parsed.and_then(|body| body.cached_tokens).unwrap_or(0.0)
}

/// Returns the load report in a response's headers; `None` if they have none that is valid.
pub(super) fn load_from_headers(headers: &HeaderMap) -> Option<LoadReport> {
    parse_load_report(headers.get("endpoint-load-metrics")?.to_str().ok()?)
}
