//! Requests that move to another session by a reconnect: the session that they moved to owes their final message.
//!
//! Guards against a session that is closed in the middle of an answer (review/3). A moved request used to count at the
//! session that had submitted it first, so the session that received its messages was taken for idle.

mod testbed;

use std::time::Duration;
use testbed::{Behavior, Fleet, SessionClient, STREAM_EVENTS};

/// The limit of requests of a session in the test bed.
const MAX_REQUESTS: usize = 8;

/// Where the first session stands when its request has moved.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstSession {
    Dropped,
    Open,
}

/// A fleet with a request that streams, or waits at its decode endpoint, and has moved from `first` to `second`.
struct MovedRequest {
    fleet: Fleet,
    first: Option<SessionClient>,
    second: SessionClient,
}

impl MovedRequest {
    /// Moves a request that has streamed its first event.
    async fn streaming(first_session: FirstSession) -> MovedRequest {
        let fleet = Fleet::start(false).await;
        fleet.set_behavior(2, Behavior::Pause);
        let mut first = SessionClient::connect(&fleet).await;
        first.send_request("moved", "return-request", 9000).await;
        assert_eq!(first.receive().await.0, "event");
        let mut second = SessionClient::connect(&fleet).await;
        let mut first = Some(first);
        if first_session == FirstSession::Dropped {
            drop(first.take());
        }
        second.send_request("moved", "return-request", 9000).await;
        assert_eq!(second.receive().await.0, "event", "the text so far");
        MovedRequest {
            fleet,
            first,
            second,
        }
    }

    /// Lets the endpoint end the stream and asserts that the second session receives all of the rest.
    async fn assert_served(&mut self) {
        self.fleet.resume.notify_one();
        assert_eq!(
            self.second.receive_response("moved").await,
            ("served".into(), STREAM_EVENTS[1..].concat())
        );
        assert_eq!(self.fleet.attempts_at(2), 1);
    }
}

/// At a shutdown the session that the request moved to stays open until the answer is whole. The one that it came from has
/// nothing left, and is closed at once.
#[tokio::test]
async fn at_shutdown_a_moved_request_is_answered_before_its_session_closes() {
    for first_session in [FirstSession::Dropped, FirstSession::Open] {
        let mut moved = MovedRequest::streaming(first_session).await;
        let mut idle = SessionClient::connect(&moved.fleet).await;
        moved.fleet.drain().await;
        let without_requests = [Some(&mut idle), moved.first.as_mut()];
        for session in without_requests.into_iter().flatten() {
            let closed = session.receive().await;
            assert_eq!(closed, ("close".into(), "1001".into()), "{first_session:?}");
        }
        moved.assert_served().await;
        assert_eq!(
            moved.second.receive().await,
            ("close".into(), "1001".into())
        );
        tokio::time::timeout(Duration::from_secs(5), moved.fleet.frontend_task)
            .await
            .expect("the frontends end")
            .unwrap();
    }
}

/// The same for a request that has not begun to stream: it waits for its decode endpoint over the move and the shutdown.
#[tokio::test]
async fn at_shutdown_a_moved_request_that_waits_is_answered_before_its_session_closes() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Hang);
    let mut first = SessionClient::connect(&fleet).await;
    first.send_request("waits", "return-request", 1000).await;
    fleet
        .wait_until("the request waits for decode", |activity| {
            activity.attempts.len() == 2
        })
        .await;
    let mut second = SessionClient::connect(&fleet).await;
    let mut idle = SessionClient::connect(&fleet).await;
    drop(first);
    second.send_request("waits", "return-request", 1000).await;
    // The answer to the message after it shows that the session has handled it.
    second.send("").await;
    assert_eq!(second.receive().await.0, "error");
    fleet.drain().await;
    assert_eq!(idle.receive().await, ("close".into(), "1001".into()));
    assert_eq!(second.receive_response("waits").await.0, "failed");
    assert_eq!(second.receive().await, ("close".into(), "1001".into()));
    fleet.assert_all_released().await;
}

/// At the limit of sessions, the one that a request has moved to is not closed for a new one, although it has been without a
/// message for longest.
#[tokio::test]
async fn at_the_limit_the_session_of_a_moved_request_is_not_closed() {
    let mut moved = MovedRequest::streaming(FirstSession::Dropped).await;
    let mut idle = Vec::new();
    while idle.len() < 3 {
        let url = format!("ws://{}/v1/sessions", moved.fleet.websocket_address);
        // The slot of the dropped session is free as soon as its task has noticed the drop.
        if let Ok((socket, _)) = tokio_tungstenite::connect_async(&url).await {
            idle.push(SessionClient(socket));
        }
    }
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(2)).await;
    tokio::time::resume();
    let (mut new, closed) = tokio::join!(SessionClient::connect(&moved.fleet), idle[0].receive());
    assert_eq!(closed, ("close".into(), "1013".into()));
    moved.assert_served().await;
    moved.fleet.set_behavior(2, Behavior::Serve);
    new.send_request("n1", "status-query", 2000).await;
    assert_eq!(new.receive_response("n1").await.0, "served");
}

/// A moved request counts at the session that it moved to, and no longer at the one that it came from. It moves also to a
/// session that is at its limit; new requests are refused there.
#[tokio::test]
async fn a_moved_request_counts_at_the_session_that_it_moved_to() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Hang);
    let mut first = SessionClient::connect(&fleet).await;
    let mut second = SessionClient::connect(&fleet).await;
    for number in 0..MAX_REQUESTS {
        let id = format!("first-{number}");
        first.send_request(&id, "return-request", 9000).await;
        let id = format!("second-{number}");
        second.send_request(&id, "return-request", 9000).await;
    }
    second.send_request("first-0", "return-request", 9000).await;
    second.send_request("new", "return-request", 9000).await;
    let (kind, text) = second.receive().await;
    assert!(kind == "refused" && text.contains("\"new\""), "{text}");
    fleet
        .wait_until("all wait for decode", |activity| {
            let at_decode = |entry: &&(usize, String)| entry.0 == 2;
            activity.attempts.iter().filter(at_decode).count() == 2 * MAX_REQUESTS
        })
        .await;
    fleet.set_behavior(2, Behavior::Serve);
    first.send_request("new", "return-request", 9000).await;
    assert_eq!(
        first.receive_response("new").await.0,
        "served",
        "the first session has a free place"
    );
    drop((first, second));
    fleet.assert_all_released().await;
}

/// The session that a request has moved to can cancel it. The cancellation used to be known only to the session that had
/// submitted the request first, and was ignored.
#[tokio::test]
async fn a_moved_request_can_be_cancelled_from_its_session() {
    for first_session in [FirstSession::Dropped, FirstSession::Open] {
        let mut moved = MovedRequest::streaming(first_session).await;
        moved.second.send(r#"{"type":"cancel","id":"moved"}"#).await;
        let (kind, text) = moved.second.receive().await;
        assert!(kind == "failed" && text.contains("cancelled"), "{text}");
        moved.fleet.assert_all_released().await;
    }
}
