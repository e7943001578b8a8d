//! WebSocket sessions from end to end: clients, the dispatcher, and endpoints over both of their protocols.

mod testbed;

use futures_util::SinkExt;
use std::time::Duration;
use testbed::{ask, Fleet, Terminal, Way, ANSWER};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;

#[tokio::test]
async fn a_request_is_prefilled_and_decoded_over_either_endpoint_protocol() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        let mut terminal = Terminal::connect(&fleet).await;
        for (id, class) in [("a", "status-query"), ("b", "return-request")] {
            terminal.ask(id, class, 5000).await;
            assert_eq!(
                terminal.hear_final(id).await,
                ("served".into(), ANSWER.concat())
            );
        }
        fleet.nothing_left().await;
        assert_eq!(fleet.sent_to(2), 2);
        assert_eq!(
            fleet.ledger.lock().unwrap().released,
            0,
            "a KV cache that decode has consumed needs no release"
        );
    }
}

#[tokio::test]
async fn many_requests_of_a_session_get_one_final_message_each() {
    let fleet = Fleet::start(true).await;
    let mut terminal = Terminal::connect(&fleet).await;
    let mut in_flight: Vec<String> = (0..8).map(|number| format!("r{number}")).collect();
    for id in &in_flight {
        terminal.ask(id, "return-request", 5000).await;
    }
    while !in_flight.is_empty() {
        let (kind, text) = terminal.hear().await;
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
    fleet.nothing_left().await;
    assert_eq!(fleet.sent_to(2), 8);
}

#[tokio::test]
async fn the_deadline_ends_a_request_that_waits_for_a_decode_endpoint() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.way(2, Way::Wait);
        let mut terminal = Terminal::connect(&fleet).await;
        let start = Instant::now();
        terminal.ask("late", "return-request", 400).await;
        // It may have run at the decode endpoint: it is not shed, which would mean that a retry is harmless.
        assert_eq!(terminal.hear_final("late").await.0, "failed");
        assert!(
            start.elapsed() >= Duration::from_millis(300)
                && start.elapsed() < Duration::from_secs(2)
        );
        fleet.nothing_left().await;
    }
}

#[tokio::test]
async fn a_request_that_every_endpoint_rejects_is_shed_with_a_retry_time() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.way(0, Way::Full);
        fleet.way(1, Way::Full);
        let mut terminal = Terminal::connect(&fleet).await;
        terminal.ask("no", "return-request", 1000).await;
        let (kind, text) = terminal.hear().await;
        assert_eq!(kind, "refused");
        let retry_after_ms = text
            .split("\"retry_after_ms\":")
            .nth(1)
            .expect("a retry time")
            .trim_end_matches('}');
        let retry_after_ms: u64 = retry_after_ms.parse().expect("milliseconds");
        assert!((1..=500).contains(&retry_after_ms), "{text}");
        fleet.nothing_left().await;
        // Until then the cached outcome answers.
        let attempts = fleet.ledger.lock().unwrap().sent.len();
        terminal.ask("no", "return-request", 9000).await;
        assert_eq!(terminal.hear().await.0, "refused");
        assert_eq!(fleet.ledger.lock().unwrap().sent.len(), attempts);
        assert_eq!(fleet.sent_to(2), 0);
    }
}

#[tokio::test]
async fn errors_garbage_and_broken_streams_fail_a_non_idempotent_request_that_is_sent_once() {
    for over_sessions in [false, true] {
        for way in [Way::Fail, Way::Garbage, Way::Break] {
            let fleet = Fleet::start(over_sessions).await;
            fleet.tell(&[(3, "Ready")]).await;
            fleet.way(2, way);
            fleet.way(3, way);
            let mut terminal = Terminal::connect(&fleet).await;
            terminal.ask("x", "return-request", 2000).await;
            assert_eq!(terminal.hear_final("x").await.0, "failed", "{way:?}");
            fleet.nothing_left().await;
            assert_eq!(fleet.sent_to(2) + fleet.sent_to(3), 1, "{way:?}");
            // The same id again is not a second attempt.
            terminal.ask("x", "return-request", 2000).await;
            assert_eq!(terminal.hear_final("x").await.0, "failed", "{way:?}");
            assert_eq!(fleet.sent_to(2) + fleet.sent_to(3), 1, "{way:?}");
        }
    }
}

#[tokio::test]
async fn a_broken_prefill_leaves_no_kv_cache() {
    let fleet = Fleet::start(true).await;
    fleet.way(0, Way::Break);
    fleet.way(1, Way::Break);
    let mut terminal = Terminal::connect(&fleet).await;
    terminal.ask("x", "return-request", 1000).await;
    let (kind, _) = terminal.hear_final("x").await;
    assert!(kind == "refused" || kind == "failed", "{kind}");
    fleet.nothing_left().await;
    assert!(
        fleet.ledger.lock().unwrap().released > 0,
        "a KV cache may have been left: it was released"
    );
}

#[tokio::test]
async fn a_session_closed_while_its_request_waits_for_a_decode_endpoint_leaves_nothing() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.way(2, Way::Wait);
        let mut terminal = Terminal::connect(&fleet).await;
        terminal.ask("w", "return-request", 9000).await;
        fleet
            .until("the request waits for decode", |ledger| {
                ledger.sent.iter().any(|(endpoint, _)| *endpoint == 2)
            })
            .await;
        drop(terminal);
        fleet.nothing_left().await;
        // It may have run: it never runs again, whichever session submits it.
        fleet.way(2, Way::Serve);
        let mut again = Terminal::connect(&fleet).await;
        again.ask("w", "return-request", 9000).await;
        let (kind, text) = again.hear().await;
        assert_eq!(kind, "failed");
        assert!(text.contains("may have run"), "{text}");
        assert_eq!(fleet.sent_to(2), 1);
    }
}

#[tokio::test]
async fn a_reconnect_is_not_a_new_attempt() {
    let fleet = Fleet::start(true).await;
    fleet.way(2, Way::Pause);
    let mut first = Terminal::connect(&fleet).await;
    first.ask("r", "return-request", 9000).await;
    assert_eq!(first.hear().await.0, "event");
    // The new session connects while the old socket is still open: the request moves to it, with its text.
    let mut second = Terminal::connect(&fleet).await;
    second.ask("r", "return-request", 9000).await;
    assert_eq!(second.hear().await.0, "event");
    drop(first);
    fleet.go.notify_one();
    let (kind, rest) = second.hear_final("r").await;
    assert_eq!((kind.as_str(), rest), ("served", ANSWER[1..].concat()));
    // And once more after its end: the cached outcome, with the response.
    let mut third = Terminal::connect(&fleet).await;
    third.ask("r", "return-request", 9000).await;
    assert_eq!(
        third.hear_final("r").await,
        ("served".into(), ANSWER.concat())
    );
    fleet.nothing_left().await;
    assert_eq!(fleet.sent_to(2), 1);
}

#[tokio::test]
async fn an_abandoned_idempotent_request_keeps_its_first_deadline() {
    let fleet = Fleet::start(true).await;
    fleet.way(2, Way::Wait);
    let mut terminal = Terminal::connect(&fleet).await;
    let start = Instant::now();
    terminal.ask("s", "status-query", 1500).await;
    fleet
        .until("the request waits for decode", |ledger| {
            ledger.sent.iter().any(|(endpoint, _)| *endpoint == 2)
        })
        .await;
    drop(terminal);
    fleet.nothing_left().await;
    let mut again = Terminal::connect(&fleet).await;
    again.ask("s", "status-query", 60_000).await;
    let (kind, _) = again.hear_final("s").await;
    assert!(kind == "refused" || kind == "failed", "{kind}");
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "the first deadline holds, not the second"
    );
    fleet.nothing_left().await;
}

#[tokio::test]
async fn an_endpoint_that_drains_completes_its_requests_and_receives_no_new_ones() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.way(2, Way::Pause);
        let mut terminal = Terminal::connect(&fleet).await;
        terminal.ask("old", "return-request", 9000).await;
        assert_eq!(terminal.hear().await.0, "event");
        fleet.tell(&[(2, "Terminating"), (3, "Ready")]).await;
        for number in 0..4 {
            let id = format!("new{number}");
            terminal.ask(&id, "return-request", 9000).await;
            assert_eq!(terminal.hear_final(&id).await.0, "served");
        }
        assert_eq!((fleet.sent_to(2), fleet.sent_to(3)), (1, 4));
        fleet.go.notify_one();
        assert_eq!(
            terminal.hear_final("old").await,
            ("served".into(), ANSWER[1..].concat())
        );
        fleet.nothing_left().await;
    }
}

#[tokio::test]
async fn a_request_in_flight_at_a_removed_decode_endpoint_fails_at_its_deadline() {
    let fleet = Fleet::start(true).await;
    fleet.way(2, Way::Wait);
    let mut terminal = Terminal::connect(&fleet).await;
    terminal.ask("w", "return-request", 700).await;
    fleet
        .until("the request waits for decode", |ledger| {
            ledger.sent.iter().any(|(endpoint, _)| *endpoint == 2)
        })
        .await;
    fleet.tell(&[(2, "Gone"), (3, "Ready")]).await;
    assert_eq!(terminal.hear_final("w").await.0, "failed");
    assert_eq!(fleet.sent_to(3), 0, "it may have run at the first endpoint");
    fleet.nothing_left().await;
}

#[tokio::test]
async fn invalid_messages_are_answered_and_invalid_frames_close_the_session_with_their_code() {
    let fleet = Fleet::start(true).await;
    let mut terminal = Terminal::connect(&fleet).await;
    for invalid in [
        "",
        "[]",
        "{\"type\":\"request\"}",
        "{\"type\":\"request\",\"id\":\"a/b\"}",
    ] {
        terminal.say(invalid).await;
        assert_eq!(terminal.hear().await.0, "error", "{invalid}");
    }
    for (from, to) in [
        ("acme", "nobody"),
        ("return-request", "no-class"),
        ("prompt_len", "prompt"),
    ] {
        terminal
            .say(&ask("bad", "return-request", 500).replace(from, to))
            .await;
        assert_eq!(terminal.hear().await.0, "failed", "{to}");
    }
    terminal.ask("good", "status-query", 5000).await;
    assert_eq!(
        terminal.hear_final("good").await.0,
        "served",
        "the session continues"
    );
    terminal
        .0
        .send(Message::Binary(vec![1].into()))
        .await
        .unwrap();
    assert_eq!(terminal.hear().await, ("close".into(), "1003".into()));

    let mut big = Terminal::connect(&fleet).await;
    big.say(&"x".repeat(5000)).await;
    assert_eq!(big.hear().await, ("close".into(), "1009".into()));

    // A frame that is not masked violates the protocol.
    let mut raw = tokio::net::TcpStream::connect(&fleet.sessions)
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
    fleet.nothing_left().await;
}

#[tokio::test]
async fn a_cancelled_request_leaves_nothing() {
    let fleet = Fleet::start(true).await;
    fleet.way(2, Way::Wait);
    let mut terminal = Terminal::connect(&fleet).await;
    terminal.ask("c", "status-query", 9000).await;
    fleet
        .until("the request waits for decode", |ledger| {
            ledger.sent.iter().any(|(endpoint, _)| *endpoint == 2)
        })
        .await;
    terminal.say(r#"{"type":"cancel","id":"c"}"#).await;
    assert_eq!(terminal.hear_final("c").await.0, "failed");
    fleet.nothing_left().await;
}

#[tokio::test]
async fn at_shutdown_requests_in_flight_are_answered_before_the_session_closes() {
    let fleet = Fleet::start(true).await;
    fleet.way(2, Way::Pause);
    let mut terminal = Terminal::connect(&fleet).await;
    let mut idle = Terminal::connect(&fleet).await;
    terminal.ask("last", "return-request", 9000).await;
    assert_eq!(terminal.hear().await.0, "event");
    fleet.drain().await;
    assert_eq!(idle.hear().await, ("close".into(), "1001".into()));
    terminal.ask("after", "return-request", 9000).await;
    let (kind, text) = terminal.hear().await;
    assert_eq!(kind, "refused", "{text}");
    fleet.go.notify_one();
    assert_eq!(
        terminal.hear_final("last").await,
        ("served".into(), ANSWER[1..].concat())
    );
    assert_eq!(terminal.hear().await, ("close".into(), "1001".into()));
    fleet.nothing_left().await;
    tokio::time::timeout(Duration::from_secs(5), fleet.over)
        .await
        .expect("the frontends end")
        .unwrap();
}

#[tokio::test]
async fn a_request_over_the_session_limit_is_shed_and_may_be_submitted_again() {
    let fleet = Fleet::start(true).await;
    fleet.way(2, Way::Wait);
    let mut terminal = Terminal::connect(&fleet).await;
    for number in 0..8 {
        terminal
            .ask(&format!("w{number}"), "return-request", 9000)
            .await;
    }
    terminal.ask("over", "return-request", 9000).await;
    let (kind, text) = terminal.hear().await;
    assert!(kind == "refused" && text.contains("\"over\""), "{text}");
    fleet
        .until("all wait for decode", |ledger| {
            ledger
                .sent
                .iter()
                .filter(|(endpoint, _)| *endpoint == 2)
                .count()
                == 8
        })
        .await;
    terminal.say(r#"{"type":"cancel","id":"w0"}"#).await;
    assert_eq!(terminal.hear_final("w0").await.0, "failed");
    fleet.way(2, Way::Serve);
    terminal.ask("over", "return-request", 9000).await;
    assert_eq!(
        terminal.hear_final("over").await.0,
        "served",
        "nothing was done before"
    );
    drop(terminal);
    fleet.nothing_left().await;
}

/// A client that submits an id twice in one session receives the response of one request.
#[tokio::test]
async fn an_id_submitted_twice_is_one_request() {
    let fleet = Fleet::start(true).await;
    fleet.way(2, Way::Pause);
    let mut terminal = Terminal::connect(&fleet).await;
    terminal.ask("twice", "return-request", 9000).await;
    assert_eq!(terminal.hear().await.0, "event");
    terminal.ask("twice", "return-request", 9000).await;
    assert_eq!(terminal.hear().await.0, "event", "the text so far, again");
    fleet.go.notify_one();
    assert_eq!(
        terminal.hear_final("twice").await,
        ("served".into(), ANSWER[1..].concat())
    );
    fleet.nothing_left().await;
    assert_eq!(fleet.sent_to(2), 1);
}

/// Idle sessions do not lock others out: at the limit, the one that has been idle for longest is closed for a new one, and
/// none with a request in flight.
#[tokio::test]
async fn at_the_limit_an_idle_session_is_closed_for_a_new_one() {
    let fleet = Fleet::start(false).await;
    fleet.way(2, Way::Wait);
    let mut busy = Terminal::connect(&fleet).await;
    busy.ask("b1", "status-query", 60_000).await;
    fleet
        .until("the request waits at the decode endpoint", |ledger| {
            ledger.sent.len() == 2
        })
        .await;
    fleet.way(2, Way::Serve);
    let mut idle = Vec::new();
    for _ in 0..3 {
        idle.push(Terminal::connect(&fleet).await);
    }
    let url = format!("ws://{}/v1/sessions", fleet.sessions);
    assert!(
        tokio_tungstenite::connect_async(&url).await.is_err(),
        "no session has been idle for long enough"
    );
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(2)).await;
    tokio::time::resume();
    let (mut new, closed) = tokio::join!(Terminal::connect(&fleet), idle[0].hear());
    assert_eq!(closed, ("close".into(), "1013".into()));
    new.ask("n1", "status-query", 2000).await;
    assert_eq!(new.hear_final("n1").await.0, "served");

    busy.say(r#"{"type":"cancel","id":"b1"}"#).await;
    assert_eq!(
        busy.hear_final("b1").await.0,
        "failed",
        "it was in flight all the time"
    );
}
