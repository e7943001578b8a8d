//! Calls endpoints over HTTP/1.1 with hyper-util's client: attempts, releases and probes.
//!
//! An attempt is reported as never run only if that is certain. That is so if the connection was never established, the
//! endpoint said so, or the request's last byte was never written.

mod connection_pool;
mod exchange;
mod hyper_connector;
mod request_body;
mod response_stream;
mod stream_source;
mod usage;

pub use usage::{parse_stream_tail, StreamReport};

use super::attempt::{AttemptRequest, AttemptResult, ConnectionPolicy, StreamForwarder};
use super::connector::Connector;
use super::load_report::parse_load_report;
use crate::dispatcher::EndReason;
use crate::routing::api::LoadReport;
use crate::upgrade::stream_migration::ReceivedUpstream;
use crate::variants::{is_enabled, Variant};
use bytes::Bytes;
use connection_pool::ConnectionPool;
use exchange::{exchange, CloseGuard, ResponseHead};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{header, Method, Request, Response, StatusCode};
use request_body::SingleFrameBody;
use response_stream::{forward_received_stream, forward_stream};
use slog::{debug, Logger};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use usage::{load_from_headers, parse_cached_tokens};

/// The maximum body length of a short response, such as a prefill result or a load report.
const MAX_SHORT_RESPONSE_BYTES: usize = 16 * 1024;

/// An endpoint's response to a probe.
pub struct ProbeResult {
    /// Whether the response's status was 200 OK.
    pub is_healthy: bool,
    /// The endpoint's load; `None` if not reported.
    pub load: Option<LoadReport>,
}

/// The HTTP client of the backend. Cheap to clone; clones share the connection pool.
#[derive(Clone)]
pub struct HttpBackend {
    pool: ConnectionPool,
    connector: Connector,
    log: Logger,
}

impl HttpBackend {
    /// Creates a backend without connections. Connections that were idle for `idle_timeout` are not reused, and at most
    /// `max_idle_per_endpoint` are pooled for each endpoint.
    pub fn new(
        connector: Connector,
        idle_timeout: Duration,
        max_idle_per_endpoint: usize,
        log: Logger,
    ) -> Self {
        let pool = ConnectionPool::new(
            connector.clone(),
            idle_timeout,
            max_idle_per_endpoint,
            log.clone(),
        );
        HttpBackend {
            pool,
            connector,
            log,
        }
    }

    /// Runs an attempt to its end.
    pub async fn attempt(
        &self,
        mut request: AttemptRequest,
        forwarder: StreamForwarder,
    ) -> AttemptResult {
        let deadline = Instant::now() + request.timeout;
        let mut guard = CloseGuard::default();
        let head = match self.send(&request, deadline, &mut guard).await {
            Ok(head) => head,
            Err(reason) => return reason.into(),
        };
        request.upstream.body = Bytes::new(); // frees the memory: the stream may take long
        match head.response.status() {
            StatusCode::OK => forward_stream(head, deadline, forwarder, guard, &self.log).await,
            StatusCode::ACCEPTED => read_prefill_response(head.response, deadline, guard).await,
            _ => {
                guard.disarm();
                self.classify_error_response(&request, &head.response)
            }
        }
    }

    /// Forwards a received stream to its end.
    pub async fn resume(
        &self,
        upstream: ReceivedUpstream,
        forwarder: StreamForwarder,
    ) -> AttemptResult {
        forward_received_stream(upstream, forwarder).await
    }

    /// Sends an attempt's request and waits for the head of the response until the deadline.
    async fn send(
        &self,
        request: &AttemptRequest,
        deadline: Instant,
        guard: &mut CloseGuard,
    ) -> Result<ResponseHead, EndReason> {
        let is_body_taken = Arc::new(AtomicBool::new(false));
        let make_request = || build_request(request, deadline, &is_body_taken);
        let exchange = exchange(&self.pool, make_request, request.connection, guard);
        let is_waiting = || !is_body_taken.load(Ordering::Relaxed);
        let result = tokio::select! {
            biased;
            // An endpoint that drains serves only requests whose first byte it got before. A request that still waits
            // for a connection when its endpoint is blocked is not sent. One that was sent continues.
            () = self.connector.blocked_endpoints().wait_until_blocked(&request.address, is_waiting) => {
                return Err(EndReason::EndpointBlocked);
            }
            result = timeout_at(deadline, exchange) => result,
        };
        match result {
            Ok(Ok(head)) => Ok(head),
            Ok(Err(error)) => {
                let reason = error.end_reason(is_body_taken.load(Ordering::Relaxed));
                debug!(self.log, "attempt failed"; "id" => request.id, "attempt" => request.attempt,
                    "address" => %request.address, "reason" => ?reason, "error" => ?error);
                Err(reason)
            }
            Err(_) => Err(EndReason::Timeout),
        }
    }

    /// Returns how a response that is neither a stream nor a prefill result ends its attempt.
    fn classify_error_response(
        &self,
        request: &AttemptRequest,
        response: &Response<Incoming>,
    ) -> AttemptResult {
        let never_ran = response
            .headers()
            .get("x-never-ran")
            .is_some_and(|value| value == "1");
        let status = response.status();
        let reason = match status {
            StatusCode::GONE if never_ran => EndReason::KvStateMissing,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
                EndReason::Overloaded
            }
            StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND | StatusCode::PAYLOAD_TOO_LARGE => {
                EndReason::InvalidRequest
            }
            _ => EndReason::ErrorResponse,
        };
        if matches!(reason, EndReason::InvalidRequest | EndReason::ErrorResponse) {
            debug!(self.log, "error response"; "id" => request.id, "attempt" => request.attempt,
                "address" => %request.address, "status" => status.as_u16());
        }
        AttemptResult {
            load: load_from_headers(response.headers()),
            ..reason.into()
        }
    }

    /// Sends a request without a body and returns its response; `None` if the exchange failed. Sets no time limit: the
    /// caller does.
    async fn call(
        &self,
        method: Method,
        address: &str,
        target: &str,
        policy: ConnectionPolicy,
    ) -> Option<Response<Incoming>> {
        let make_request = || {
            Request::builder()
                .method(method.clone())
                .uri(format!("http://{address}{target}"))
                .body(SingleFrameBody::empty())
        };
        let mut guard = CloseGuard::default();
        let result = exchange(&self.pool, make_request, policy, &mut guard).await;
        guard.disarm();
        match result {
            Ok(head) => Some(head.response),
            Err(error) => {
                debug!(self.log, "call failed"; "address" => address, "target" => target, "error" => ?error);
                None
            }
        }
    }

    /// Asks an endpoint to release a request's reservation. Returns whether the endpoint confirmed the release.
    pub async fn release(
        &self,
        client_request_id: &str,
        address: &str,
        policy: ConnectionPolicy,
    ) -> bool {
        let target = format!("/kv/leases/{client_request_id}");
        let Some(response) = self.call(Method::DELETE, address, &target, policy).await else {
            return false;
        };
        let is_confirmed = response.status().is_success();
        // The connection can be reused only after the whole body was read.
        let _ = read_short_body(response).await;
        is_confirmed
    }

    /// Requests an endpoint's load report. Returns `None` if no complete response arrived. Sets no time limit: the
    /// caller does.
    pub async fn probe(&self, address: &str) -> Option<ProbeResult> {
        let response = self
            .call(
                Method::GET,
                address,
                "/status/load",
                ConnectionPolicy::AllowPooled,
            )
            .await?;
        let is_healthy = response.status() == StatusCode::OK;
        let header_load = load_from_headers(response.headers());
        let body = read_short_body(response).await?;
        let body_load = || parse_load_report(std::str::from_utf8(&body).ok()?);
        Some(ProbeResult {
            is_healthy,
            load: header_load.or_else(body_load),
        })
    }
}

/// Builds an attempt's request, which declares the time left until `deadline`.
fn build_request(
    request: &AttemptRequest,
    deadline: Instant,
    is_body_taken: &Arc<AtomicBool>,
) -> hyper::http::Result<Request<SingleFrameBody>> {
    let upstream = &request.upstream;
    let surplus = if is_enabled(Variant::ToldTime) {
        Duration::from_secs(1)
    } else {
        Duration::ZERO
    };
    let time_left = deadline.saturating_duration_since(Instant::now()) + surplus;
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{}", request.address, upstream.target))
        .header("x-trace-id", &*upstream.client_request_id)
        .header("x-expires-in-ms", time_left.as_millis().to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(SingleFrameBody::new(
            upstream.body.clone(),
            is_body_taken.clone(),
        ))
}

/// Reads a body. `None` if it is longer than [`MAX_SHORT_RESPONSE_BYTES`] or its connection broke.
async fn read_short_body(response: Response<Incoming>) -> Option<Bytes> {
    let body = Limited::new(response.into_body(), MAX_SHORT_RESPONSE_BYTES).collect();
    Some(body.await.ok()?.to_bytes())
}

/// Reads a prefill response to its end, and disarms the guard if it was read completely.
async fn read_prefill_response(
    response: Response<Incoming>,
    deadline: Instant,
    mut guard: CloseGuard,
) -> AttemptResult {
    let load = load_from_headers(response.headers());
    let body = match timeout_at(deadline, read_short_body(response)).await {
        Ok(Some(body)) => body,
        Ok(None) => return EndReason::ConnectionReset.into(),
        Err(_) => return EndReason::Timeout.into(),
    };
    guard.disarm();
    AttemptResult {
        reason: EndReason::PrefillDone,
        cached_tokens: parse_cached_tokens(&body),
        completion_tokens: 0.0,
        load,
    }
}
