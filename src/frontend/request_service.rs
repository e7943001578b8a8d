//! Serves one connection: runs HTTP over its socket, and each request through the routes.

use super::admission::ListenerState;
use super::client_socket::{ClientSocket, READ_BUFFER_BYTES};
use super::connection::{ClientConnection, ConnectionPhase};
use crate::net::message_framing::DeclaredBody;
use axum::body::Body;
use axum::http::{header, HeaderValue, StatusCode};
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
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tower_service::Service;

/// A request in flight: its connection is idle again when this is dropped, with the end of the response.
struct OpenRequest(Arc<ClientConnection>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.on_response_completed();
    }
}

/// A response's body, which keeps its request open until it is sent.
struct TrackedBody {
    body: Body,
    _open_request: OpenRequest,
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

/// Whether a request's body can hide a second request (request smuggling): one that declares a length beside its
/// chunks, which hyper does not report, or whose head could not be followed.
fn has_ambiguous_body(request: &Request<Incoming>, declared: Option<DeclaredBody>) -> bool {
    if !request.headers().contains_key(header::TRANSFER_ENCODING) {
        return false;
    }
    declared.is_none_or(|declared| !declared.chunked || declared.length.is_some())
}

fn reject_ambiguous_body() -> Response {
    (
        StatusCode::LENGTH_REQUIRED,
        [(header::CONNECTION, "close")],
        "a length, or chunks alone, are required\n",
    )
        .into_response()
}

/// Serves one request. An ambiguous body is rejected on every route.
async fn respond(
    mut routes: Router,
    listener_state: ListenerState,
    client: Arc<ClientConnection>,
    mut request: Request<Incoming>,
) -> Response {
    let declared_body = client.framing().next_head();
    client.set_phase(ConnectionPhase::RequestInFlight);
    let open_request = OpenRequest(client.clone());
    request
        .extensions_mut()
        .insert(client.migration_slot().clone());
    let mut response = if has_ambiguous_body(&request, declared_body) {
        reject_ambiguous_body()
    } else {
        match routes.call(request).await {
            Ok(response) => response,
            Err(never) => match never {},
        }
    };
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        client.framing().stop();
    } else if listener_state.is_full() || listener_state.is_shutting_down() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| {
        Body::new(TrackedBody {
            body,
            _open_request: open_request,
        })
    })
}

/// Serves a connection until it ends, expires, or is migrated.
pub(super) async fn serve_connection(
    stream: TcpStream,
    client: Arc<ClientConnection>,
    routes: Router,
    listener_state: ListenerState,
) {
    let _ = stream.set_nodelay(true);
    let mut shutdown = listener_state.shutdown().clone();
    let migration_sender = listener_state.migration_sender().clone();
    let socket = ClientSocket::new(stream, client.clone(), listener_state.clone());
    let service_client = client.clone();
    let service = service_fn(move |request| {
        let response = respond(
            routes.clone(),
            listener_state.clone(),
            service_client.clone(),
            request,
        );
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(READ_BUFFER_BYTES);
    let connection = http.serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection.with_upgrades());
    let mut is_closing = false;
    loop {
        tokio::select! {
            // First, so that it does not come between a migration and its end.
            biased;
            () = client.wait_until_closable(&mut shutdown), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = connection.as_mut() => return,
            () = client.wait_until_expired() => return,
            // The socket is dropped without a shutdown: the successor process has it too.
            is_migrated = client.migration_slot().migrate(&migration_sender) => {
                if is_migrated {
                    return;
                }
            }
        }
    }
}
