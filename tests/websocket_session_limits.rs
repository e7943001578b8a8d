//! The limits of WebSocket sessions, and their close at a shutdown: which sessions the dispatcher may close, and what it
//! owes them before.

mod testbed;

use quartzhall::frontend::ShutdownPhase;
use std::time::Duration;
use testbed::{Behavior, Fleet, SessionClient, STREAM_EVENTS};

/// How long a session must have been idle before it is closed for a new one.
const EVICTION_IDLE_TIME: Duration = Duration::from_secs(2);

/// Lets all open sessions be idle for long enough to be closed for a new one.
async fn pass_eviction_idle_time() {
    tokio::time::pause();
    tokio::time::advance(EVICTION_IDLE_TIME).await;
    tokio::time::resume();
}

#[tokio::test]
async fn at_shutdown_requests_in_flight_are_answered_before_the_session_closes() {
    let fleet = Fleet::start(true).await;
    fleet.set_behavior(2, Behavior::Pause);
    let mut client = SessionClient::connect(&fleet).await;
    let mut idle = SessionClient::connect(&fleet).await;
    client.send_request("last", "return-request", 9000).await;
    assert_eq!(client.receive().await.0, "event");
    fleet.drain().await;
    assert_eq!(idle.receive().await, ("close".into(), "1001".into()));
    client.send_request("after", "return-request", 9000).await;
    let (kind, text) = client.receive().await;
    assert_eq!(kind, "refused", "{text}");
    fleet.resume.notify_one();
    assert_eq!(
        client.receive_response("last").await,
        ("served".into(), STREAM_EVENTS[1..].concat())
    );
    assert_eq!(client.receive().await, ("close".into(), "1001".into()));
    fleet.assert_all_released().await;
    tokio::time::timeout(Duration::from_secs(5), fleet.frontend_task)
        .await
        .expect("the frontends end")
        .unwrap();
}

#[tokio::test]
async fn a_request_over_the_session_limit_is_shed_and_may_be_submitted_again() {
    let fleet = Fleet::start(true).await;
    fleet.set_behavior(2, Behavior::Hang);
    let mut client = SessionClient::connect(&fleet).await;
    for number in 0..8 {
        client
            .send_request(&format!("w{number}"), "return-request", 9000)
            .await;
    }
    client.send_request("over", "return-request", 9000).await;
    let (kind, text) = client.receive().await;
    assert!(kind == "refused" && text.contains("\"over\""), "{text}");
    fleet
        .wait_until("all wait for decode", |activity| {
            activity
                .attempts
                .iter()
                .filter(|(endpoint, _)| *endpoint == 2)
                .count()
                == 8
        })
        .await;
    client.send(r#"{"type":"cancel","id":"w0"}"#).await;
    assert_eq!(client.receive_response("w0").await.0, "failed");
    fleet.set_behavior(2, Behavior::Serve);
    client.send_request("over", "return-request", 9000).await;
    assert_eq!(
        client.receive_response("over").await.0,
        "served",
        "a shed request may be submitted again"
    );
    drop(client);
    fleet.assert_all_released().await;
}

/// Idle sessions don't lock others out: at the limit, the one that has been idle for longest is evicted for a new one.
/// A session with a request in flight is not.
#[tokio::test]
async fn at_the_limit_an_idle_session_is_closed_for_a_new_one() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Hang);
    let mut busy = SessionClient::connect(&fleet).await;
    busy.send_request("b1", "status-query", 60_000).await;
    fleet
        .wait_until("the request waits at the decode endpoint", |activity| {
            activity.attempts.len() == 2
        })
        .await;
    fleet.set_behavior(2, Behavior::Serve);
    let mut idle = Vec::new();
    for _ in 0..3 {
        idle.push(SessionClient::connect(&fleet).await);
    }
    let url = format!("ws://{}/v1/sessions", fleet.websocket_address);
    assert!(
        tokio_tungstenite::connect_async(&url).await.is_err(),
        "no session has been idle for long enough"
    );
    pass_eviction_idle_time().await;
    let (mut new, closed) = tokio::join!(SessionClient::connect(&fleet), idle[0].receive());
    assert_eq!(closed, ("close".into(), "1013".into()));
    new.send_request("n1", "status-query", 2000).await;
    assert_eq!(new.receive_response("n1").await.0, "served");

    busy.send(r#"{"type":"cancel","id":"b1"}"#).await;
    assert_eq!(
        busy.receive_response("b1").await.0,
        "failed",
        "the session with a request in flight is not evicted"
    );
}

/// Requests that have arrived when their idle sessions are closed get their final messages first: a new one, and one that is
/// answered from the cache with two messages. They used to be discarded unread.
#[tokio::test]
async fn at_shutdown_a_request_that_has_arrived_is_answered_before_its_idle_session_closes() {
    let fleet = Fleet::start(false).await;
    let mut client = SessionClient::connect(&fleet).await;
    client.send_request("known", "return-request", 9000).await;
    assert_eq!(client.receive_response("known").await.0, "served");
    let mut other = SessionClient::connect(&fleet).await;
    fleet.start_drain().await;
    client.send_request("known", "return-request", 9000).await;
    other.send_request("new", "return-request", 9000).await;
    fleet.shutdown.send(ShutdownPhase::Closing).unwrap();
    assert_eq!(
        client.receive_response("known").await,
        ("served".into(), STREAM_EVENTS.concat())
    );
    assert_eq!(other.receive_response("new").await.0, "refused");
    for mut session in [client, other] {
        assert_eq!(session.receive().await, ("close".into(), "1001".into()));
    }
    assert_eq!(fleet.attempts_at(2), 1);
}

/// At the limit a session whose request has just ended stays open, although its client's last message is the oldest: others
/// have been without a request for longer. It used to be closed right after a long answer.
#[tokio::test]
async fn at_the_limit_a_session_whose_request_has_just_ended_is_not_closed() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Pause);
    let mut served = SessionClient::connect(&fleet).await;
    served.send_request("long", "return-request", 60_000).await;
    assert_eq!(served.receive().await.0, "event");
    let mut idle = Vec::new();
    for _ in 0..3 {
        idle.push(SessionClient::connect(&fleet).await);
    }
    pass_eviction_idle_time().await;
    fleet.resume.notify_one();
    assert_eq!(served.receive_response("long").await.0, "served");
    fleet.dispatcher.wait_until_idle().await;
    let (_new, closed) = tokio::join!(SessionClient::connect(&fleet), idle[0].receive());
    assert_eq!(closed, ("close".into(), "1013".into()));
    fleet.set_behavior(2, Behavior::Serve);
    served.send_request("next", "status-query", 2000).await;
    assert_eq!(served.receive_response("next").await.0, "served");
}
