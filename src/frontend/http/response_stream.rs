//! The streamed response to a request, also where another process of this dispatcher has begun it.

use crate::dispatcher::{
    DispatcherHandle, PendingRequest, ReceivedAttempt, StreamChunk, MAX_QUEUED_CHUNKS,
};
use crate::upgrade::request_claims::{RequestClaim, RequestClaims, RequestKey};
use crate::upgrade::stream_migration::{ReceivedUpstream, SharedMigrationSlot};
use crate::variants::{is_enabled, Variant};
use axum::body::Body;
use axum::http::header;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http_body::Frame;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Resumes response streams that another process of this dispatcher has begun.
#[derive(Clone)]
pub struct StreamResumer {
    /// Counts resumed streams among the open requests.
    pub dispatcher: DispatcherHandle,
    /// Passes the upstream side of resumed streams to the backend.
    pub attempts: mpsc::Sender<ReceivedAttempt>,
    /// Learns the ids of resumed streams, which this process has from then on.
    pub claims: RequestClaims,
}

impl StreamResumer {
    /// Returns the response that continues a stream. Its connection writes it like any other response, except for the
    /// head, which the other process has already sent.
    pub(in crate::frontend) async fn resume(
        &self,
        upstream: ReceivedUpstream,
        client_request_id: Option<Arc<str>>,
        migration_slot: SharedMigrationSlot,
    ) -> Response {
        let claim = client_request_id
            .as_deref()
            .map(|id| self.claims.take_over(RequestKey::of_http_request(id)));
        let address = upstream.socket.peer_addr().ok();
        let address = address.map(|address| address.to_string().into());
        let pending_request = self
            .dispatcher
            .receive_stream(client_request_id.clone(), address)
            .await;
        let (chunk_sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let attempt = ReceivedAttempt {
            id: pending_request.id(),
            upstream,
            chunks: chunk_sender,
        };
        // If the backend has stopped, the process is about to exit; the response then ends as a broken stream.
        let _ = self.attempts.send(attempt).await;
        stream_response(ResponseStream {
            chunks,
            state: StreamState::Open,
            migration_slot: Some(migration_slot),
            client_request_id,
            _pending_request: pending_request,
            _taken_over: claim,
        })
    }
}

/// Returns the response with this stream as its body.
pub(super) fn stream_response(stream: ResponseStream) -> Response {
    (
        [
            (header::CONTENT_TYPE, "text/event-stream"),
            (header::CACHE_CONTROL, "no-cache"),
        ],
        Body::new(stream),
    )
        .into_response()
}

#[derive(PartialEq, Eq)]
enum StreamState {
    Open,
    /// The stream has broken. The error is returned at the next poll, so that hyper can send the earlier chunks first.
    Broken,
    /// The response is complete.
    Ended,
}

/// The body of a streamed response. If the client disconnects, the pending request is dropped with the body, which
/// cancels the request at the dispatcher.
pub(super) struct ResponseStream {
    chunks: mpsc::Receiver<StreamChunk>,
    state: StreamState,
    /// The slot in which the stream is offered for migration; `None`: the stream stays in this process, because its
    /// client does not use HTTP/1.1.
    migration_slot: Option<SharedMigrationSlot>,
    /// The id that is passed on if the stream migrates; `None`: the process that sent this stream did not pass it on.
    client_request_id: Option<Arc<str>>,
    _pending_request: PendingRequest,
    /// The claim of a stream that another process has begun; held until the stream has ended here.
    _taken_over: Option<RequestClaim>,
}

impl ResponseStream {
    /// Creates the body of a response that begins in this process.
    pub(super) fn new(
        chunks: mpsc::Receiver<StreamChunk>,
        migration_slot: Option<SharedMigrationSlot>,
        client_request_id: Arc<str>,
        pending_request: PendingRequest,
    ) -> ResponseStream {
        ResponseStream {
            chunks,
            state: StreamState::Open,
            migration_slot,
            client_request_id: Some(client_request_id),
            _pending_request: pending_request,
            _taken_over: None,
        }
    }
}

impl http_body::Body for ResponseStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.state == StreamState::Ended {
            return Poll::Ready(None);
        }
        match self.chunks.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(StreamChunk::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(StreamChunk::Migrate(half))) => {
                // No chunk follows until the stream has migrated or continues in this process.
                match &self.migration_slot {
                    Some(migration_slot) => {
                        migration_slot.offer(half, self.client_request_id.clone());
                    }
                    None => drop(half),
                }
                self.poll_frame(context)
            }
            Poll::Ready(Some(StreamChunk::End)) => {
                self.state = StreamState::Ended;
                Poll::Ready(None)
            }
            // The stream has broken. An error makes hyper close the connection at once and discard what it has not sent
            // yet. If the stream broke right after its first event, the client would get no response at all. So the
            // error is returned only at the next poll.
            Poll::Ready(None) if is_enabled(Variant::StreamEnd) => Poll::Ready(None),
            Poll::Ready(None) if self.state == StreamState::Open => {
                self.state = StreamState::Broken;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into()))),
        }
    }
}
