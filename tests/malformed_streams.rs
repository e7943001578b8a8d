//! Tests of malformed responses, of valid ones with extra bytes, and of connection reuse. Endpoints write raw bytes,
//! and the clock is paused where time matters.

#[path = "backend/support.rs"]
mod support;
mod testbed;

use quartzhall::dispatcher::{Command, Event, EventReceiver, StreamChunk};
use quartzhall::routing::api::AttemptStatus;
use std::time::Duration;
use support::{bind_endpoint, block_address, AttemptSpec, STREAM_HEAD};
use testbed::start_backend;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

const EVENT: &str = "data: {\"n\":1}\n\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An endpoint that reads a request and writes raw bytes. The connection stays open until its stream is dropped.
struct RawEndpoint {
    listener: TcpListener,
    address: String,
}

impl RawEndpoint {
    async fn start() -> RawEndpoint {
        let (listener, address) = bind_endpoint().await;
        RawEndpoint { listener, address }
    }

    async fn respond(&self, bytes: &[u8]) -> TcpStream {
        let accepted = tokio::time::timeout(Duration::from_secs(60), self.listener.accept()).await;
        let (mut stream, _) = accepted.expect("a connection within a minute").unwrap();
        respond_on(&mut stream, bytes).await;
        stream
    }

    fn start_attempt(&self, id: u64) -> Command {
        let attempt = AttemptSpec {
            timeout: Duration::from_secs(60),
            ..AttemptSpec::new(id, &self.address)
        };
        attempt.command()
    }
}

async fn respond_on(stream: &mut TcpStream, bytes: &[u8]) {
    support::read_request(stream).await;
    // Fails if the backend has closed the connection meanwhile.
    let _ = stream.write_all(bytes).await;
}

/// Returns the status of an attempt, the forwarded part of its stream, and whether the stream was reported as complete.
async fn outcome(events: &mut EventReceiver) -> (AttemptStatus, String, bool) {
    let mut stream = None::<mpsc::Receiver<StreamChunk>>;
    let mut text = Vec::new();
    let mut is_complete = false;
    loop {
        match events.recv().await.expect("an open queue") {
            Event::FirstEvent {
                stream: started, ..
            } => stream = Some(started),
            Event::AttemptEnded { reason, .. } => {
                while let Some(chunk) = stream.as_mut().and_then(|stream| stream.try_recv().ok()) {
                    match chunk {
                        StreamChunk::Data(data) => text.extend_from_slice(&data),
                        StreamChunk::End => is_complete = true,
                        StreamChunk::Migrate(_) => panic!("nothing migrates here"),
                    }
                }
                return (
                    reason.status(),
                    String::from_utf8(text).unwrap(),
                    is_complete,
                );
            }
            other => panic!("{other:?}"),
        }
    }
}

/// A stream that is malformed before its first event is not forwarded; one that is malformed later is not reported as
/// complete. Both are errors of a request that may have run, and are detected within 5 s on an open connection.
#[tokio::test(start_paused = true)]
async fn a_malformed_stream_is_an_error_and_never_complete() {
    let event = chunk(EVENT);
    let endless = format!("{STREAM_HEAD}{event}b2d05e00\r\n{}", "x".repeat(200_000));
    let lines = format!(
        "{STREAM_HEAD}{event}b2d05e00\r\n{}",
        "data: x\n".repeat(20_000)
    );
    for (response, forwarded) in [
        ("\u{1}\u{2}\u{3} what?\r\n\r\n".to_owned(), ""),
        ("HTTP/1.1 what\r\n\r\n".to_owned(), ""),
        (
            format!("HTTP/1.1 200 OK\r\nX-More: {}", "x".repeat(100_000)),
            "",
        ),
        (format!("{STREAM_HEAD}{}", chunk("\u{1}\u{2}\u{3}")), ""),
        (
            format!("{STREAM_HEAD}{}", chunk(": only a comment\n\n\nwhat\n")),
            "",
        ),
        (format!("{STREAM_HEAD}zz\r\n{EVENT}\r\n"), ""),
        (format!("{STREAM_HEAD}0\r\n\r\n"), ""),
        (format!("{STREAM_HEAD}{event}zz\r\n{EVENT}\r\n"), EVENT),
        (format!("{STREAM_HEAD}{event}5\r\n{EVENT}\r\n"), EVENT),
        (
            format!("{STREAM_HEAD}{event}20\r\n{EVENT}\r\n{event}"),
            EVENT,
        ),
        (endless, EVENT),
        (lines, EVENT),
    ] {
        let endpoint = RawEndpoint::start().await;
        let (commands, mut events) = start_backend(&[]);
        commands.send(endpoint.start_attempt(1)).await.unwrap();
        let stream = endpoint.respond(response.as_bytes()).await;
        let started_at = Instant::now();
        let (status, text, is_complete) = outcome(&mut events).await;
        assert_eq!(status, AttemptStatus::Error, "{response:.200}");
        assert!(
            text == forwarded || !forwarded.is_empty() && text == EVENT.repeat(2),
            "{response:.200}: {text}"
        );
        assert!(
            !is_complete && started_at.elapsed() < Duration::from_secs(5),
            "{response:.200}: {:?}",
            started_at.elapsed()
        );
        drop(stream);
    }
}

/// An endpoint declares a longer chunk than it sends, then sends no more events. The client must not wait for long.
#[tokio::test(start_paused = true)]
async fn a_stream_that_stops_is_a_reset_within_5_s_of_its_last_event() {
    let endpoint = RawEndpoint::start().await;
    let (commands, mut events) = start_backend(&[]);
    commands.send(endpoint.start_attempt(1)).await.unwrap();
    let mut stream = endpoint
        .respond(format!("{STREAM_HEAD}ff\r\n{EVENT}").as_bytes())
        .await;
    let started_at = Instant::now();
    // Bytes that complete no event don't keep the stream open.
    let send_comment_bytes = async {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let _ = stream.write_all(b":").await;
        }
    };
    let ended = tokio::select! {
        ended = outcome(&mut events) => ended,
        () = send_comment_bytes => unreachable!(),
    };
    assert_eq!(ended, (AttemptStatus::Reset, EVENT.to_owned(), false));
    assert!(
        started_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        started_at.elapsed()
    );
}

/// Guards against a long event that is cut because it is written slowly, although its bytes keep arriving.
#[tokio::test(start_paused = true)]
async fn a_long_event_that_is_written_slowly_is_not_cut() {
    let endpoint = RawEndpoint::start().await;
    let (commands, mut events) = start_backend(&[]);
    commands.send(endpoint.start_attempt(1)).await.unwrap();
    let mut stream = endpoint
        .respond(format!("{STREAM_HEAD}{}", chunk(EVENT)).as_bytes())
        .await;
    let pieces = ["event: long\n", "data: ", "a", "b", "c", "\n", "\n"];
    let write_slowly = async {
        for piece in pieces {
            tokio::time::sleep(Duration::from_millis(2_900)).await;
            let _ = stream.write_all(chunk(piece).as_bytes()).await;
        }
        let _ = stream.write_all(b"0\r\n\r\n").await;
    };
    let (ended, ()) = tokio::join!(outcome(&mut events), write_slowly);
    let expected = format!("{EVENT}{}", pieces.concat());
    assert_eq!(ended, (AttemptStatus::Served, expected, true));
}

/// An endpoint begins an event, up to 1.7 s after the last one, and stops in it. The client must not wait for long.
#[tokio::test(start_paused = true)]
async fn a_stream_that_stops_within_an_event_is_a_reset_within_5_s_of_its_last_event() {
    for pause_ms in [0, 400, 1_700] {
        let endpoint = RawEndpoint::start().await;
        let (commands, mut events) = start_backend(&[]);
        commands.send(endpoint.start_attempt(1)).await.unwrap();
        let mut stream = endpoint
            .respond(format!("{STREAM_HEAD}{}", chunk(EVENT)).as_bytes())
            .await;
        let started_at = tokio::time::Instant::now();
        let begin_event = async {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            stream.write_all(chunk("data: a").as_bytes()).await.unwrap();
        };
        let (ended, ()) = tokio::join!(outcome(&mut events), begin_event);
        assert_eq!(ended, (AttemptStatus::Reset, EVENT.to_owned(), false));
        let elapsed = started_at.elapsed();
        assert!(
            elapsed < Duration::from_secs(5),
            "{pause_ms} ms: {elapsed:?}"
        );
    }
}

/// A busy endpoint may repeatedly be silent for seconds and then continue. Its stream must not be cut.
#[tokio::test(start_paused = true)]
async fn a_stream_with_4_6_s_between_events_is_not_cut() {
    let endpoint = RawEndpoint::start().await;
    let (commands, mut events) = start_backend(&[]);
    commands.send(endpoint.start_attempt(1)).await.unwrap();
    let mut stream = endpoint
        .respond(format!("{STREAM_HEAD}{}", chunk(EVENT)).as_bytes())
        .await;
    let continue_stream = async {
        for _ in 0..2 {
            tokio::time::sleep(Duration::from_millis(4_600)).await;
            let _ = stream.write_all(chunk(EVENT).as_bytes()).await;
        }
        let _ = stream.write_all(b"0\r\n\r\n").await;
    };
    let (ended, ()) = tokio::join!(outcome(&mut events), continue_stream);
    assert_eq!(ended, (AttemptStatus::Served, EVENT.repeat(3), true));
}

/// A stream stays valid despite interim responses, an unreadable load report, and a second response after it. A
/// connection with bytes after the response is not reused.
#[tokio::test(start_paused = true)]
async fn a_valid_stream_with_extra_bytes_is_served() {
    let endpoint = RawEndpoint::start().await;
    let (commands, mut events) = start_backend(&[]);
    let early_heads = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let head = STREAM_HEAD.replacen(
        "\r\n",
        "\r\nEndpoint-Load-Metrics: TEXT inflight=\u{ff}, ?\r\n",
        1,
    );
    let body = format!("{EVENT}: Endpoint-Load-Metrics: \u{1}TEXT x0=much\n\n");
    let response = format!("{early_heads}{head}{}0\r\n\r\n", chunk(&body));
    let mut connections = Vec::new();
    for (id, extra) in [
        (
            1,
            format!("{STREAM_HEAD}{}0\r\n\r\n", chunk("data: other\n\n")),
        ),
        (2, String::new()),
    ] {
        commands.send(endpoint.start_attempt(id)).await.unwrap();
        connections.push(
            endpoint
                .respond(format!("{response}{extra}").as_bytes())
                .await,
        );
        assert_eq!(
            outcome(&mut events).await,
            (AttemptStatus::Served, body.clone(), true)
        );
    }
    // Without extra bytes the connection is reused.
    commands.send(endpoint.start_attempt(3)).await.unwrap();
    respond_on(&mut connections[1], response.as_bytes()).await;
    assert_eq!(
        outcome(&mut events).await,
        (AttemptStatus::Served, body, true)
    );
}

#[tokio::test]
async fn an_invalid_request_is_not_an_endpoint_error() {
    for (status_line, expected) in [
        ("400 Bad Request", AttemptStatus::InvalidRequest),
        ("500 Oh", AttemptStatus::Error),
        ("302 Found", AttemptStatus::Error),
    ] {
        let endpoint = RawEndpoint::start().await;
        let (commands, mut events) = start_backend(&[]);
        commands.send(endpoint.start_attempt(1)).await.unwrap();
        let _stream = endpoint
            .respond(format!("HTTP/1.1 {status_line}\r\nContent-Length: 0\r\n\r\n").as_bytes())
            .await;
        assert_eq!(outcome(&mut events).await.0, expected, "{status_line}");
    }
}

/// An endpoint is blocked in the middle of a stream, after any of its bytes. Its idle connections are closed, and one
/// with a stream in flight must not count as idle.
#[tokio::test(start_paused = true)]
async fn blocking_an_endpoint_mid_stream_does_not_cut_the_stream() {
    let text = format!("{STREAM_HEAD}{}{}0\r\n\r\n", chunk(EVENT), chunk(EVENT));
    for cut in 0..=text.len() {
        let endpoint = RawEndpoint::start().await;
        let (commands, mut events) = start_backend(&[]);
        commands.send(endpoint.start_attempt(1)).await.unwrap();
        let mut stream = endpoint.respond(text.as_bytes()).await;
        assert_eq!(
            outcome(&mut events).await,
            (AttemptStatus::Served, EVENT.repeat(2), true)
        );
        // The second response arrives on the pooled connection.
        commands.send(endpoint.start_attempt(2)).await.unwrap();
        let (before, after) = text.as_bytes().split_at(cut);
        respond_on(&mut stream, before).await;
        tokio::time::sleep(Duration::from_millis(1)).await;
        commands
            .send(block_address(&endpoint.address))
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(1)).await;
        stream.write_all(after).await.unwrap();
        drop(stream);
        assert_eq!(
            outcome(&mut events).await,
            (AttemptStatus::Served, EVENT.repeat(2), true),
            "cut at byte {cut}"
        );
    }
}

/// An endpoint closes connections that were idle for the configured time, 30 s here. A request written at that moment
/// may have run, so connections are reused only within 70 % of that time.
#[tokio::test(start_paused = true)]
async fn a_connection_is_not_used_again_when_its_endpoint_may_be_closing_it() {
    let endpoint = RawEndpoint::start().await;
    let (commands, mut events) = start_backend(&[]);
    let response = format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(EVENT));
    commands.send(endpoint.start_attempt(1)).await.unwrap();
    let mut first = endpoint.respond(response.as_bytes()).await;
    assert_eq!(outcome(&mut events).await.0, AttemptStatus::Served);
    tokio::time::sleep(Duration::from_millis(20_500)).await;
    commands.send(endpoint.start_attempt(2)).await.unwrap();
    respond_on(&mut first, response.as_bytes()).await;
    assert_eq!(
        outcome(&mut events).await.0,
        AttemptStatus::Served,
        "the same connection"
    );
    tokio::time::sleep(Duration::from_millis(21_500)).await;
    commands.send(endpoint.start_attempt(3)).await.unwrap();
    let _second = endpoint.respond(response.as_bytes()).await;
    assert_eq!(
        outcome(&mut events).await.0,
        AttemptStatus::Served,
        "a new connection"
    );
}
