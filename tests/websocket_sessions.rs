//! End-to-end tests of WebSocket sessions, with endpoints over both of their protocols.

mod testbed;

use futures_util::{FutureExt, SinkExt};
use std::time::Duration;
use testbed::{request_message, Behavior, Fleet, SessionClient, STREAM_EVENTS};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;

#[tokio::test]
async fn a_request_is_prefilled_and_decoded_over_either_endpoint_protocol() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        let mut client = SessionClient::connect(&fleet).await;
        for (id, class) in [("a", "status-query"), ("b", "return-request")] {
            client.send_request(id, class, 5000).await;
            assert_eq!(
                client.receive_response(id).await,
                ("served".into(), STREAM_EVENTS.concat())
            );
        }
        fleet.assert_all_released().await;
        assert_eq!(fleet.attempts_at(2), 2);
        assert_eq!(
            fleet.activity.lock().unwrap().release_count,
            0,
            "a KV cache that decode has consumed needs no release"
        );
    }
}

#[tokio::test]
async fn many_requests_of_a_session_get_one_final_message_each() {
    let fleet = Fleet::start(true).await;
    let mut client = SessionClient::connect(&fleet).await;
    let mut in_flight: Vec<String> = (0..8).map(|number| format!("r{number}")).collect();
    for id in &in_flight {
        client.send_request(id, "return-request", 5000).await;
    }
    while !in_flight.is_empty() {
        let (kind, text) = client.receive().await;
        if kind == "event" {
            continue;
        }
        assert_eq!(kind, "served", "{text}");
        let index = in_flight
            .iter()
            .position(|id| text.contains(&format!("\"{id}\"")))
            .expect("a request in flight");
        in_flight.remove(index);
    }
    fleet.assert_all_released().await;
    assert_eq!(fleet.attempts_at(2), 8);
}

#[tokio::test]
async fn the_deadline_ends_a_request_that_waits_for_a_decode_endpoint() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.set_behavior(2, Behavior::Hang);
        let mut client = SessionClient::connect(&fleet).await;
        let start = Instant::now();
        client.send_request("late", "return-request", 400).await;
        // The request may have run at the decode endpoint, so it is not shed: that would mean that a retry is harmless.
        assert_eq!(client.receive_response("late").await.0, "failed");
        assert!(
            start.elapsed() >= Duration::from_millis(300)
                && start.elapsed() < Duration::from_secs(2)
        );
        fleet.assert_all_released().await;
    }
}

#[tokio::test]
async fn a_request_that_every_endpoint_rejects_is_shed_with_a_retry_time() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.set_behavior(0, Behavior::Reject);
        fleet.set_behavior(1, Behavior::Reject);
        let mut client = SessionClient::connect(&fleet).await;
        client.send_request("no", "return-request", 1000).await;
        let (kind, text) = client.receive().await;
        assert_eq!(kind, "refused");
        let retry_after_ms = text
            .split("\"retry_after_ms\":")
            .nth(1)
            .expect("a retry time")
            .trim_end_matches('}');
        let retry_after_ms: u64 = retry_after_ms.parse().expect("milliseconds");
        assert!((1..=500).contains(&retry_after_ms), "{text}");
        fleet.assert_all_released().await;
        // Until the retry time, the cached outcome is sent again.
        let attempts = fleet.activity.lock().unwrap().attempts.len();
        client.send_request("no", "return-request", 9000).await;
        assert_eq!(client.receive().await.0, "refused");
        assert_eq!(fleet.activity.lock().unwrap().attempts.len(), attempts);
        assert_eq!(fleet.attempts_at(2), 0);
    }
}

#[tokio::test]
async fn errors_garbage_and_broken_streams_fail_a_non_idempotent_request_that_is_sent_once() {
    for over_sessions in [false, true] {
        for behavior in [Behavior::Error, Behavior::Malformed, Behavior::Abort] {
            let fleet = Fleet::start(over_sessions).await;
            fleet.update_discovery(&[(3, "Ready")]).await;
            fleet.set_behavior(2, behavior);
            fleet.set_behavior(3, behavior);
            let mut client = SessionClient::connect(&fleet).await;
            client.send_request("x", "return-request", 2000).await;
            assert_eq!(
                client.receive_response("x").await.0,
                "failed",
                "{behavior:?}"
            );
            fleet.assert_all_released().await;
            assert_eq!(
                fleet.attempts_at(2) + fleet.attempts_at(3),
                1,
                "{behavior:?}"
            );
            // Submitting the same id again starts no second attempt.
            client.send_request("x", "return-request", 2000).await;
            assert_eq!(
                client.receive_response("x").await.0,
                "failed",
                "{behavior:?}"
            );
            assert_eq!(
                fleet.attempts_at(2) + fleet.attempts_at(3),
                1,
                "{behavior:?}"
            );
        }
    }
}

#[tokio::test]
async fn a_broken_prefill_leaves_no_kv_cache() {
    let fleet = Fleet::start(true).await;
    fleet.set_behavior(0, Behavior::Abort);
    fleet.set_behavior(1, Behavior::Abort);
    let mut client = SessionClient::connect(&fleet).await;
    client.send_request("x", "return-request", 1000).await;
    let (kind, _) = client.receive_response("x").await;
    assert!(kind == "refused" || kind == "failed", "{kind}");
    fleet.assert_all_released().await;
    assert!(
        fleet.activity.lock().unwrap().release_count > 0,
        "a KV cache may have been left: it was released"
    );
}

#[tokio::test]
async fn a_session_closed_while_its_request_waits_for_a_decode_endpoint_leaves_nothing() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.set_behavior(2, Behavior::Hang);
        let mut client = SessionClient::connect(&fleet).await;
        client.send_request("w", "return-request", 9000).await;
        fleet.wait_for_attempt_at(2).await;
        drop(client);
        fleet.assert_all_released().await;
        // The request may have run, so it never runs again, whichever session submits it.
        fleet.set_behavior(2, Behavior::Serve);
        let mut reconnected = SessionClient::connect(&fleet).await;
        reconnected.send_request("w", "return-request", 9000).await;
        let (kind, text) = reconnected.receive().await;
        assert_eq!(kind, "failed");
        assert!(text.contains("may have run"), "{text}");
        assert_eq!(fleet.attempts_at(2), 1);
    }
}

/// Guards against requests that are begun although their client has left before they were read.
#[tokio::test]
async fn requests_that_were_not_read_when_their_client_left_are_not_begun() {
    let fleet = Fleet::start(false).await;
    let mut client = SessionClient::connect(&fleet).await;
    // Nothing else runs between the write and the close.
    let message = request_message("gone", "return-request", 9000);
    client.0.feed(Message::Text(message.into())).await.unwrap();
    let flushed = client.0.flush().now_or_never();
    assert!(flushed.is_some_and(|flushed| flushed.is_ok()));
    drop(client);
    let mut other = SessionClient::connect(&fleet).await;
    other.send_request("other", "return-request", 9000).await;
    assert_eq!(other.receive_response("other").await.0, "served");
    assert_eq!(fleet.attempts_at(0) + fleet.attempts_at(1), 1);
}

#[tokio::test]
async fn a_reconnect_is_not_a_new_attempt() {
    let fleet = Fleet::start(true).await;
    fleet.set_behavior(2, Behavior::Pause);
    let mut first = SessionClient::connect(&fleet).await;
    first.send_request("r", "return-request", 9000).await;
    assert_eq!(first.receive().await.0, "event");
    // The new session connects while the old socket is still open: the response moves to the new socket, with the text
    // so far.
    let mut second = SessionClient::connect(&fleet).await;
    second.send_request("r", "return-request", 9000).await;
    assert_eq!(second.receive().await.0, "event");
    drop(first);
    fleet.resume.notify_one();
    let (kind, rest) = second.receive_response("r").await;
    assert_eq!(
        (kind.as_str(), rest),
        ("served", STREAM_EVENTS[1..].concat())
    );
    // After the end of the request, the cached outcome is sent with the response.
    let mut third = SessionClient::connect(&fleet).await;
    third.send_request("r", "return-request", 9000).await;
    assert_eq!(
        third.receive_response("r").await,
        ("served".into(), STREAM_EVENTS.concat())
    );
    fleet.assert_all_released().await;
    assert_eq!(fleet.attempts_at(2), 1);
}

#[tokio::test]
async fn an_abandoned_idempotent_request_keeps_its_first_deadline() {
    let fleet = Fleet::start(true).await;
    fleet.set_behavior(2, Behavior::Hang);
    let mut client = SessionClient::connect(&fleet).await;
    let start = Instant::now();
    client.send_request("s", "status-query", 1500).await;
    fleet.wait_for_attempt_at(2).await;
    drop(client);
    fleet.assert_all_released().await;
    let mut reconnected = SessionClient::connect(&fleet).await;
    reconnected.send_request("s", "status-query", 60_000).await;
    let (kind, _) = reconnected.receive_response("s").await;
    assert!(kind == "refused" || kind == "failed", "{kind}");
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "the first deadline holds, not the second"
    );
    fleet.assert_all_released().await;
}

#[tokio::test]
async fn an_endpoint_that_drains_completes_its_requests_and_receives_no_new_ones() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.set_behavior(2, Behavior::Pause);
        let mut client = SessionClient::connect(&fleet).await;
        client.send_request("old", "return-request", 9000).await;
        assert_eq!(client.receive().await.0, "event");
        fleet
            .update_discovery(&[(2, "Terminating"), (3, "Ready")])
            .await;
        for number in 0..4 {
            let id = format!("new{number}");
            client.send_request(&id, "return-request", 9000).await;
            assert_eq!(client.receive_response(&id).await.0, "served");
        }
        assert_eq!((fleet.attempts_at(2), fleet.attempts_at(3)), (1, 4));
        fleet.resume.notify_one();
        assert_eq!(
            client.receive_response("old").await,
            ("served".into(), STREAM_EVENTS[1..].concat())
        );
        fleet.assert_all_released().await;
    }
}

#[tokio::test]
async fn a_request_in_flight_at_a_removed_decode_endpoint_fails_at_its_deadline() {
    let fleet = Fleet::start(true).await;
    fleet.set_behavior(2, Behavior::Hang);
    let mut client = SessionClient::connect(&fleet).await;
    client.send_request("w", "return-request", 700).await;
    fleet.wait_for_attempt_at(2).await;
    fleet.update_discovery(&[(2, "Gone"), (3, "Ready")]).await;
    assert_eq!(client.receive_response("w").await.0, "failed");
    assert_eq!(
        fleet.attempts_at(3),
        0,
        "the request may have run at the first endpoint, so it is not repeated"
    );
    fleet.assert_all_released().await;
}

#[tokio::test]
async fn invalid_messages_are_answered_and_invalid_frames_close_the_session_with_their_code() {
    let fleet = Fleet::start(true).await;
    let mut client = SessionClient::connect(&fleet).await;
    for invalid in [
        "",
        "[]",
        "{\"type\":\"request\"}",
        "{\"type\":\"request\",\"id\":\"a/b\"}",
    ] {
        client.send(invalid).await;
        assert_eq!(client.receive().await.0, "error", "{invalid}");
    }
    for (from, to) in [
        ("acme", "nobody"),
        ("return-request", "no-class"),
        ("prompt_len", "prompt"),
    ] {
        client
            .send(&request_message("bad", "return-request", 500).replace(from, to))
            .await;
        assert_eq!(client.receive().await.0, "failed", "{to}");
    }
    client.send_request("good", "status-query", 5000).await;
    assert_eq!(
        client.receive_response("good").await.0,
        "served",
        "the session continues"
    );
    client
        .0
        .send(Message::Binary(vec![1].into()))
        .await
        .unwrap();
    assert_eq!(client.receive().await, ("close".into(), "1003".into()));

    let mut big = SessionClient::connect(&fleet).await;
    big.send(&"x".repeat(5000)).await;
    assert_eq!(big.receive().await, ("close".into(), "1009".into()));

    // A frame that is not masked violates the protocol.
    let mut raw = tokio::net::TcpStream::connect(&fleet.websocket_address)
        .await
        .unwrap();
    let head = "GET /v1/sessions HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    raw.write_all(head.as_bytes()).await.unwrap();
    raw.write_all(b"\x81\x02hi").await.unwrap();
    let mut received = Vec::new();
    tokio::time::timeout(Duration::from_secs(5), raw.read_to_end(&mut received))
        .await
        .unwrap()
        .unwrap();
    // The first byte of a close frame.
    let close: &[u8] = &[0x88];
    let body_start = received
        .windows(4)
        .position(|bytes| bytes == b"\r\n\r\n")
        .expect("a head")
        + 4;
    assert!(
        received[body_start..].starts_with(close)
            && received[body_start + 2..body_start + 4] == 1002u16.to_be_bytes(),
        "{received:?}"
    );
    fleet.assert_all_released().await;
}

#[tokio::test]
async fn a_cancelled_request_leaves_nothing() {
    let fleet = Fleet::start(true).await;
    fleet.set_behavior(2, Behavior::Hang);
    let mut client = SessionClient::connect(&fleet).await;
    client.send_request("c", "status-query", 9000).await;
    fleet.wait_for_attempt_at(2).await;
    client.send(r#"{"type":"cancel","id":"c"}"#).await;
    assert_eq!(client.receive_response("c").await.0, "failed");
    fleet.assert_all_released().await;
}

/// A client that submits an id twice in one session receives the response of one request.
#[tokio::test]
async fn an_id_submitted_twice_is_one_request() {
    let fleet = Fleet::start(true).await;
    fleet.set_behavior(2, Behavior::Pause);
    let mut client = SessionClient::connect(&fleet).await;
    client.send_request("twice", "return-request", 9000).await;
    assert_eq!(client.receive().await.0, "event");
    client.send_request("twice", "return-request", 9000).await;
    assert_eq!(client.receive().await.0, "event", "the text so far, again");
    fleet.resume.notify_one();
    assert_eq!(
        client.receive_response("twice").await,
        ("served".into(), STREAM_EVENTS[1..].concat())
    );
    fleet.assert_all_released().await;
    assert_eq!(fleet.attempts_at(2), 1);
}
