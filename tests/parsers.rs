//! Feeds truncated messages and random bytes, from fixed seeds, to every parser. No parser may panic, and a truncated
//! message must not be accepted.

mod testbed;

use quartzhall::backend::{
    event_stream, http as backend_http, load_report, websocket as backend_websocket,
};
use quartzhall::config::{Config, Deployment, SessionConfig, SettingsObject};
use quartzhall::discovery;
use quartzhall::frontend::{http, identifiers, websocket};
use quartzhall::routing::api::{EndpointStatus, RequestMetadata};
use quickcheck::{Arbitrary, Gen};

const ENDPOINT_LIST: &str = r#"{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","cell":3,"phase":"Ready","size":1.0,"up_since_ms":0}]}"#;
const STREAM_END: &str = "data: {\"choices\":[],\"usage\":{\"completion_tokens\":200,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n: Endpoint-Load-Metrics: TEXT inflight=7, x0=0.5\n\n";
const PREFILL_RESPONSE: &str =
    r#"{"type":"read","id":"n","cached_tokens":7,"load":"TEXT inflight=7"}"#;

fn deployment() -> Deployment {
    let settings: SettingsObject = miniserde::json::from_str(testbed::SETTINGS).unwrap();
    Deployment::new(&settings).unwrap()
}

fn config() -> String {
    let rest =
        r#""name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:0","seed":"7","limits":{}"#;
    format!(
        r#"{{{rest},"known":{ENDPOINT_LIST},"settings":{}}}"#,
        testbed::SETTINGS
    )
}

/// Passes the bytes to every parser. Returns whether one of the parsers of JSON messages accepted them.
fn feed_parsers(deployment: &Deployment, bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    backend_http::parse_stream_tail(bytes);
    load_report::parse_load_report(&text);
    let _ = http::parse_props(&text, &mut RequestMetadata::default());
    identifiers::is_valid_name(&text);
    identifiers::parse_key(&text);
    let mut partial = bytes.to_vec();
    if let Some(complete) = websocket::take_complete_utf8(&mut partial) {
        assert_eq!([complete.as_bytes(), &partial].concat(), bytes);
        assert!(partial.len() < 4);
    }
    let is_endpoint_message = !matches!(backend_websocket::parse_message(&text, "n"), backend_websocket::EndpointMessage::End(end) if end.reason.status() == quartzhall::routing::api::AttemptStatus::Error);
    let is_client_message = websocket::parse(&text, deployment).is_ok();
    is_endpoint_message
        || is_client_message
        || discovery::parse_list(bytes).is_ok()
        || Config::parse(&text).is_ok()
        || SessionConfig::parse(&text).is_ok()
}

#[test]
fn cuts_of_valid_messages_are_errors() {
    let deployment = deployment();
    let request = testbed::request_message("n", "status-query", 500);
    for message in [
        ENDPOINT_LIST,
        PREFILL_RESPONSE,
        &request,
        &config(),
        "{\"listen\":null}",
    ] {
        assert!(feed_parsers(&deployment, message.as_bytes()), "{message}");
        let mut random = Gen::from_size_and_seed(100, 11);
        for _ in 0..300 {
            let at = usize::arbitrary(&mut random) % message.len();
            assert!(
                !feed_parsers(&deployment, &message.as_bytes()[..at]),
                "cut at {at}: {message}"
            );
        }
    }
    for at in 0..STREAM_END.len() {
        feed_parsers(&deployment, &STREAM_END.as_bytes()[at..]);
        feed_parsers(&deployment, &STREAM_END.as_bytes()[..at]);
    }
}

#[test]
fn garbage_is_no_message() {
    let (deployment, request) = (
        deployment(),
        testbed::request_message("n", "status-query", 500),
    );
    let mut random = Gen::from_size_and_seed(200, 12);
    for _ in 0..3000 {
        let garbage = Vec::<u8>::arbitrary(&mut random);
        assert!(!feed_parsers(&deployment, &garbage), "{garbage:?}");
        let mut corrupted = request.clone().into_bytes();
        for byte in garbage.iter().take(3) {
            let at = usize::arbitrary(&mut random) % corrupted.len();
            corrupted[at] = *byte;
        }
        feed_parsers(&deployment, &corrupted);
        feed_parsers(&deployment, String::arbitrary(&mut random).as_bytes());
    }
}

#[test]
fn valid_messages_are_parsed_correctly() {
    let report = backend_http::parse_stream_tail(STREAM_END.as_bytes());
    let load = report.load.expect("a load report");
    assert_eq!(report.completion_tokens, 200.0);
    assert_eq!(
        (
            report.cached_tokens,
            load.in_flight,
            load.kv_memory_share,
            load.queued
        ),
        (4096.0, Some(7.0), Some(0.5), None)
    );
    assert!(
        load_report::parse_load_report("TEXT what=7").is_none()
            && load_report::parse_load_report("JSON inflight=7").is_none()
    );
    assert!(load_report::parse_load_report("TEXT inflight=inf").is_none());
    let mut metadata = RequestMetadata::default();
    http::parse_props(
        "prefix=5c,prompt_len=5120,prefix_len=2048,max_out=800,new=1",
        &mut metadata,
    )
    .unwrap();
    assert_eq!(
        (
            metadata.prefix,
            metadata.prompt_tokens,
            metadata.max_output_tokens
        ),
        (Some(0x5c), 5120.0, 800.0)
    );
    assert!(
        identifiers::is_valid_name("9b1f-03_a.5~")
            && !identifiers::is_valid_name("..")
            && !identifiers::is_valid_name("a b")
    );
}

/// An invalid entry of a list doesn't invalidate the other entries.
#[test]
fn invalid_endpoint_entries_are_skipped() {
    let text = ENDPOINT_LIST.replace("]}", r#",{"id":"s-2","host_port":"nowhere","phase":"Ready"},{"id":"s-3","host_port":"127.0.0.1:2","phase":"Dancing"}]}"#);
    let list = discovery::parse_list(text.as_bytes()).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let event = discovery::endpoints_changed_event(&mut deployment(), &list, &log);
    let quartzhall::dispatcher::Event::EndpointsChanged {
        is_full: true,
        endpoints: members,
    } = event
    else {
        panic!("{event:?}")
    };
    assert_eq!(members.len(), 1);
}

/// A draining or removed endpoint is recognized although other fields of its entry are invalid. Guards against skipping
/// such an entry, or rejecting the whole list where a field has the wrong type: the endpoint would keep receiving
/// requests.
#[test]
fn draining_and_removed_endpoints_are_recognized_in_partly_invalid_entries() {
    let invalid_fields = [
        r#""host_port":"nowhere""#,
        r#""host_port":7"#,
        r#""host_port":null"#,
        r#""size":1.0"#,
        r#""host_port":"127.0.0.1:2","flavor":"of another kind""#,
        r#""host_port":"127.0.0.1:2","flavor":[1]"#,
        r#""host_port":"127.0.0.1:2","flavor":"decode","cell":-1"#,
        r#""host_port":"127.0.0.1:2","flavor":"decode","up_since_ms":"never""#,
    ];
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let valid = r#"{"id":"s-1","host_port":"127.0.0.1:1","flavor":"prefill","phase":"Ready"}"#;
    for (phase, status) in [
        ("Terminating", EndpointStatus::Draining),
        ("Gone", EndpointStatus::Removed),
    ] {
        for fields in invalid_fields {
            let invalid = format!(r#"{{"id":"s-2","phase":"{phase}",{fields}}}"#);
            let text = format!(
                r#"{{"revision":42,"complete":false,"members":[{invalid},"what?",{{"phase":"Gone"}},{valid}]}}"#
            );
            let list = discovery::parse_list(text.as_bytes()).unwrap();
            let event = discovery::endpoints_changed_event(&mut deployment(), &list, &log);
            let quartzhall::dispatcher::Event::EndpointsChanged {
                is_full: false,
                endpoints: members,
            } = event
            else {
                panic!("{event:?}")
            };
            let statuses: Vec<_> = members
                .iter()
                .map(|endpoint| (&*endpoint.id, endpoint.record.status))
                .collect();
            assert_eq!(
                statuses,
                [("s-2", status), ("s-1", EndpointStatus::Ready)],
                "{invalid}"
            );
        }
    }
}

/// However a stream is split into chunks, its bytes come out unchanged and in complete events. Bytes that are no event
/// are an error, at the latest at the end of the malformed event.
#[test]
fn event_streams_are_split_into_events() {
    let stream = format!(
        ": hello\n\ndata: {{\"n\":\"ä\"}}\r\n\r\nevent: x\nid: 7\ndata: 2\n\n{STREAM_END}: the end"
    );
    let mut random = Gen::from_size_and_seed(40, 5);
    for _ in 0..500 {
        let (mut events, mut input, mut output) = (
            event_stream::EventSplitter::default(),
            stream.as_bytes(),
            Vec::new(),
        );
        while !input.is_empty() {
            let (chunk, remaining) =
                input.split_at(1 + usize::arbitrary(&mut random) % input.len());
            let complete = events.push(chunk).unwrap();
            assert!(
                complete.is_empty() || complete.ends_with(b"\n\n") || complete.ends_with(b"\n\r\n")
            );
            assert!(
                !output.is_empty()
                    || complete.is_empty()
                    || complete.windows(5).any(|window| window == b"data:")
            );
            output.extend_from_slice(&complete);
            input = remaining;
        }
        output.extend_from_slice(&events.finish().unwrap());
        assert_eq!(output, stream.as_bytes());

        let mut garbage = Vec::<u8>::arbitrary(&mut random);
        garbage.insert(0, b'?');
        let mut events = event_stream::EventSplitter::default();
        assert_eq!(events.push(b"data: 1\n\n").unwrap(), "data: 1\n\n");
        assert_eq!(events.push(&garbage), Err(event_stream::MalformedEvent));
    }
    let mut events = event_stream::EventSplitter::default();
    let accepted = (0..70)
        .map(|_| events.push(&[b':'; 1024]))
        .take_while(Result::is_ok)
        .count();
    assert_eq!(
        accepted, 64,
        "the buffer for an incomplete event is bounded"
    );
}

#[test]
fn file_descriptors_are_divided_and_some_are_reserved() {
    for sockets in [64, 256, 512, 768, 1024] {
        let config = config().replace(
            r#""limits":{}"#,
            &format!(r#""limits":{{"sockets":{sockets}}}"#),
        );
        let budgets = Config::parse(&config).unwrap().limits.socket_budgets();
        let (clients, endpoints) = (budgets.clients, budgets.endpoints);
        assert_eq!(clients + endpoints + 32, sockets);
        // Sessions fit into the clients' share and into a small memory.
        let budget = SessionConfig::parse("{}")
            .unwrap()
            .fit_to_machine(clients, 32 << 20);
        let (sessions, handshakes) = (budget.config, budget.handshake_sockets);
        assert!(sessions.max_sessions > 0 && sessions.max_sessions + handshakes <= clients / 2);
        assert!(
            sessions.max_sessions * sessions.max_message_bytes + sessions.max_cache_bytes
                <= 12 << 20
        );
        // A third of the descriptors can be open requests: as many connections to endpoints, and as many idle ones.
        assert!(
            sockets < 256 || endpoints >= sockets / 3 - 2 && clients >= sockets / 2,
            "{clients}, {endpoints}"
        );
    }
}
