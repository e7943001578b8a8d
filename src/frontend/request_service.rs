//! Serves one client connection: runs HTTP/1.1 on its socket, and passes each request to the routes.
//!
//! The connection's task owns the socket and decides when to close it. If the connection migrates to another process,
//! the task ends without closing the connection.

use super::admission::ListenerState;
use super::client_socket::{ClientSocket, READ_BUFFER_BYTES};
use super::connection::{ClientConnection, ConnectionPhase};
use super::request_body::ArrivalsEnd;
use crate::net::message_framing::DeclaredBody;
use crate::upgrade::stream_migration::ConnectionState;
use crate::variants::{is_enabled, Variant};
use axum::body::Body;
use axum::http::{header, HeaderValue, StatusCode, Version};
use axum::response::{IntoResponse, Response};
use axum::Router;
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tower_service::Service;

/// A guard for a request in flight. It is dropped at the end of the response, which makes the connection idle again.
struct RequestGuard(Arc<ClientConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.on_response_completed();
    }
}

/// A response's body, which keeps its request in flight until the body is sent.
struct TrackedBody {
    body: Body,
    _request_guard: RequestGuard,
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns whether a second request could hide in a request's body (request smuggling). This is possible if a transfer
/// encoding comes with a declared length, which hyper does not report, or if [`crate::net::message_framing`] could not
/// follow the head.
fn has_ambiguous_body(request: &Request<Incoming>, declared: Option<DeclaredBody>) -> bool {
    if !request.headers().contains_key(header::TRANSFER_ENCODING) {
        return false;
    }
    declared.is_none_or(|declared| !declared.is_chunked || declared.length.is_some())
}

fn reject_ambiguous_body() -> Response {
    (
        StatusCode::LENGTH_REQUIRED,
        [(header::CONNECTION, "close")],
        "a length, or chunks alone, are required\n",
    )
        .into_response()
}

/// Serves the requests of one connection.
#[derive(Clone)]
struct RequestService {
    routes: Router,
    listener_state: ListenerState,
    client: Arc<ClientConnection>,
    /// The rest of a response that another process has begun; the first request takes it.
    resumed_response: Arc<Mutex<Option<Response>>>,
}

impl RequestService {
    /// Serves one request.
    async fn respond(self, request: Request<Incoming>) -> Response {
        let declared_body = self.client.framing().next_head();
        self.client.set_phase(ConnectionPhase::RequestInFlight);
        let request_guard = RequestGuard(self.client.clone());
        let resumed_response = self
            .resumed_response
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let response = match resumed_response {
            Some(response) => self.set_close_on_resumed_response(response),
            None => self.route_request(request, declared_body).await,
        };
        response.map(|body| {
            Body::new(TrackedBody {
                body,
                _request_guard: request_guard,
            })
        })
    }

    /// Marks a resumed response as the last one of its connection if that was announced. This only makes hyper close
    /// the connection: the client has already received the head from the other process.
    fn set_close_on_resumed_response(&self, mut response: Response) -> Response {
        if self.client.closes_after_response() {
            set_connection_close(&mut response);
        }
        response
    }

    /// Passes a request from the client to the routes, and records whether the connection closes after the response. An
    /// ambiguous body is rejected with status 411 on every route. `declared_body` is what the request's head declares;
    /// `None`: the head could not be followed.
    async fn route_request(
        mut self,
        mut request: Request<Incoming>,
        declared_body: Option<DeclaredBody>,
    ) -> Response {
        // Streams to clients before HTTP/1.1 are not chunked, so another process can't resume them.
        if request.version() == Version::HTTP_11 {
            let slot = self.client.migration_slot().clone();
            request.extensions_mut().insert(slot);
        }
        let arrivals_end = ArrivalsEnd::new(self.listener_state.shutdown().clone());
        request.extensions_mut().insert(arrivals_end);
        if wants_connection_close(&request) {
            self.client.set_closes_after_response();
        }
        let mut response = if has_ambiguous_body(&request, declared_body) {
            reject_ambiguous_body()
        } else {
            match self.routes.call(request).await {
                Ok(response) => response,
                Err(never) => match never {},
            }
        };
        if response.status() == StatusCode::SWITCHING_PROTOCOLS {
            self.client.set_upgraded();
        } else if self.listener_state.is_full() || self.listener_state.is_shutting_down() {
            set_connection_close(&mut response);
        }
        if response.headers().contains_key(header::CONNECTION) {
            self.client.set_closes_after_response();
        }
        response
    }
}

fn set_connection_close(response: &mut Response) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Returns whether the client wants the connection to close after the response.
fn wants_connection_close(request: &Request<Incoming>) -> bool {
    let connection = request.headers().get(header::CONNECTION);
    let connection = connection.and_then(|value| value.to_str().ok());
    connection.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// A connection in the middle of a response that another process has begun.
pub(super) struct ResumedConnection {
    /// The state in which the other process has left the connection.
    pub state: ConnectionState,
    /// The rest of the response.
    pub response: Response,
}

/// Serves a connection until it ends, expires or migrates. `resumed` is set if another process has served the
/// connection before.
pub(super) async fn serve_connection(
    stream: TcpStream,
    client: Arc<ClientConnection>,
    routes: Router,
    mut listener_state: ListenerState,
    resumed: Option<ResumedConnection>,
) {
    let _ = stream.set_nodelay(true);
    let mut shutdown = listener_state.shutdown().clone();
    let mut ending = listener_state.shutdown().clone();
    let migration_sender = listener_state.migration_sender().clone();
    let mut socket = ClientSocket::new(stream, client.clone(), listener_state.clone());
    let mut resumed_response = None;
    if let Some(ResumedConnection { state, response }) = resumed {
        if state.closes_after_response {
            client.set_closes_after_response();
        }
        socket = socket.resume(&state);
        resumed_response = Some(response);
    }
    let service = RequestService {
        routes,
        listener_state: listener_state.clone(),
        client: client.clone(),
        resumed_response: Arc::new(Mutex::new(resumed_response)),
    };
    let service = service_fn(move |request| {
        let response = service.clone().respond(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(READ_BUFFER_BYTES);
    let connection = http.serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection.with_upgrades());
    let mut migration = pin!(client.migration_slot().migrate(&migration_sender));
    let mut is_closing = false;
    loop {
        tokio::select! {
            // The order matters: a close must not fall between a migration and its completion.
            biased;
            () = client.wait_until_closable(&mut shutdown), if !is_closing => {
                if is_enabled(Variant::Unanswered) {
                    return;
                }
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = connection.as_mut() => return,
            () = client.wait_until_expired() => return,
            () = client.wait_until_head_is_refused(&mut ending) => return,
            // The socket is dropped without a shutdown, because the other process now uses it.
            is_migrated = migration.as_mut() => {
                if is_migrated {
                    return;
                }
                migration.set(client.migration_slot().migrate(&migration_sender));
            }
            // The next iteration polls the connection, whose socket then buffers what the client does not read.
            () = listener_state.migration_due_changed() => {}
        }
    }
}
