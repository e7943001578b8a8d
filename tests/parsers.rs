//! Random cuts of valid messages and random garbage against every parser, from fixed seeds: no parser may
//! panic, and what was cut must not pass for whole.

mod testbed;

use quartzhall::backend::{
    event_stream, http as backend_http, load_report, websocket as backend_websocket,
};
use quartzhall::config::{Config, Deployment, SessionConfig, SettingsObject};
use quartzhall::discovery;
use quartzhall::frontend::{http, identifiers, websocket};
use quartzhall::routing::api::{EndpointStatus, RequestMetadata};
use quickcheck::{Arbitrary, Gen};

const MEMBERS: &str = r#"{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","cell":3,"phase":"Ready","size":1.0,"up_since_ms":0}]}"#;
const TAIL: &str = "data: {\"choices\":[],\"usage\":{\"completion_tokens\":200,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n: Endpoint-Load-Metrics: TEXT inflight=7, x0=0.5\n\n";
const TOLD: &str = r#"{"type":"read","id":"n","cached_tokens":7,"load":"TEXT inflight=7"}"#;

fn site() -> Deployment {
    let profile: SettingsObject = miniserde::json::from_str(testbed::SETTINGS).unwrap();
    Deployment::new(&profile).unwrap()
}

fn config() -> String {
    let rest =
        r#""name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:0","seed":"7","limits":{}"#;
    format!(
        r#"{{{rest},"known":{MEMBERS},"settings":{}}}"#,
        testbed::SETTINGS
    )
}

/// Gives every parser the bytes; true where one of the JSON parsers took them.
fn feed(site: &Deployment, bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    backend_http::parse_stream_tail(bytes);
    load_report::parse_load_report(&text);
    let _ = http::parse_props(&text, &mut RequestMetadata::default());
    identifiers::is_valid_name(&text);
    identifiers::parse_key(&text);
    let mut partial = bytes.to_vec();
    if let Some(whole) = websocket::take_complete_utf8(&mut partial) {
        assert_eq!([whole.as_bytes(), &partial].concat(), bytes);
        assert!(partial.len() < 4);
    }
    let told = !matches!(backend_websocket::parse_message(&text, "n"), backend_websocket::EndpointMessage::End(end) if end.reason.status() == quartzhall::routing::api::AttemptStatus::Error);
    let said = websocket::parse(&text, site).is_ok();
    told || said
        || discovery::parse_list(bytes).is_ok()
        || Config::parse(&text).is_ok()
        || SessionConfig::parse(&text).is_ok()
}

#[test]
fn cuts_of_valid_messages_are_errors() {
    let site = site();
    let call = testbed::request_message("n", "status-query", 500);
    for whole in [MEMBERS, TOLD, &call, &config(), "{\"listen\":null}"] {
        assert!(feed(&site, whole.as_bytes()), "{whole}");
        let mut random = Gen::from_size_and_seed(100, 11);
        for _ in 0..300 {
            let at = usize::arbitrary(&mut random) % whole.len();
            assert!(
                !feed(&site, &whole.as_bytes()[..at]),
                "cut at {at}: {whole}"
            );
        }
    }
    for at in 0..TAIL.len() {
        feed(&site, &TAIL.as_bytes()[at..]);
        feed(&site, &TAIL.as_bytes()[..at]);
    }
}

#[test]
fn garbage_is_no_message() {
    let (site, call) = (site(), testbed::request_message("n", "status-query", 500));
    let mut random = Gen::from_size_and_seed(200, 12);
    for _ in 0..3000 {
        let garbage = Vec::<u8>::arbitrary(&mut random);
        assert!(!feed(&site, &garbage), "{garbage:?}");
        let mut bent = call.clone().into_bytes();
        for byte in garbage.iter().take(3) {
            let at = usize::arbitrary(&mut random) % bent.len();
            bent[at] = *byte;
        }
        feed(&site, &bent);
        feed(&site, String::arbitrary(&mut random).as_bytes());
    }
}

#[test]
fn what_is_valid_is_read_as_it_is_meant() {
    let report = backend_http::parse_stream_tail(TAIL.as_bytes());
    let load = report.load.expect("a report");
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
    let mut ask = RequestMetadata::default();
    http::parse_props(
        "prefix=5c,prompt_len=5120,prefix_len=2048,max_out=800,new=1",
        &mut ask,
    )
    .unwrap();
    assert_eq!(
        (ask.prefix, ask.prompt_tokens, ask.max_output_tokens),
        (Some(0x5c), 5120.0, 800.0)
    );
    assert!(
        identifiers::is_valid_name("9b1f-03_a.5~")
            && !identifiers::is_valid_name("..")
            && !identifiers::is_valid_name("a b")
    );
}

/// Discovery that talks nonsense in one line is believed in the others.
#[test]
fn a_member_that_makes_no_sense_is_left_out() {
    let text = MEMBERS.replace("]}", r#",{"id":"s-2","host_port":"nowhere","phase":"Ready"},{"id":"s-3","host_port":"127.0.0.1:2","phase":"Dancing"}]}"#);
    let list = discovery::parse_list(text.as_bytes()).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let event = discovery::endpoints_changed_event(&mut site(), &list, &log);
    let quartzhall::dispatcher::Event::EndpointsChanged {
        is_full: true,
        endpoints: members,
    } = event
    else {
        panic!("{event:?}")
    };
    assert_eq!(members.len(), 1);
}

/// Who is announced as leaving leaves, whatever else its line says: such a line was left out as a whole, and where a
/// field was of another type, the list with it.
#[test]
fn a_line_of_one_that_leaves_counts_whatever_else_it_says() {
    let rest = [
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
    let whole = r#"{"id":"s-1","host_port":"127.0.0.1:1","flavor":"prefill","phase":"Ready"}"#;
    for (phase, state) in [
        ("Terminating", EndpointStatus::Draining),
        ("Gone", EndpointStatus::Removed),
    ] {
        for rest in rest {
            let odd = format!(r#"{{"id":"s-2","phase":"{phase}",{rest}}}"#);
            let text = format!(
                r#"{{"revision":42,"complete":false,"members":[{odd},"what?",{{"phase":"Gone"}},{whole}]}}"#
            );
            let list = discovery::parse_list(text.as_bytes()).unwrap();
            let event = discovery::endpoints_changed_event(&mut site(), &list, &log);
            let quartzhall::dispatcher::Event::EndpointsChanged {
                is_full: false,
                endpoints: members,
            } = event
            else {
                panic!("{event:?}")
            };
            let told: Vec<_> = members
                .iter()
                .map(|it| (&*it.id, it.record.status))
                .collect();
            assert_eq!(
                told,
                [("s-2", state), ("s-1", EndpointStatus::Ready)],
                "{odd}"
            );
        }
    }
}

/// However a stream is cut, it comes out unchanged and event by event; what is no event spoils it at the latest
/// where the event would end, and garbage never comes out as one.
#[test]
fn a_stream_is_cut_into_its_events() {
    let stream = format!(
        ": hello\n\ndata: {{\"n\":\"ä\"}}\r\n\r\nevent: x\nid: 7\ndata: 2\n\n{TAIL}: the end"
    );
    let mut random = Gen::from_size_and_seed(40, 5);
    for _ in 0..500 {
        let (mut events, mut rest, mut out) = (
            event_stream::EventSplitter::default(),
            stream.as_bytes(),
            Vec::new(),
        );
        while !rest.is_empty() {
            let (some, later) = rest.split_at(1 + usize::arbitrary(&mut random) % rest.len());
            let whole = events.push(some).unwrap();
            assert!(whole.is_empty() || whole.ends_with(b"\n\n") || whole.ends_with(b"\n\r\n"));
            assert!(
                !out.is_empty() || whole.is_empty() || whole.windows(5).any(|it| it == b"data:")
            );
            out.extend_from_slice(&whole);
            rest = later;
        }
        out.extend_from_slice(&events.finish().unwrap());
        assert_eq!(out, stream.as_bytes());

        let mut garbage = Vec::<u8>::arbitrary(&mut random);
        garbage.insert(0, b'?');
        let mut events = event_stream::EventSplitter::default();
        assert_eq!(events.push(b"data: 1\n\n").unwrap(), "data: 1\n\n");
        assert_eq!(events.push(&garbage), Err(event_stream::MalformedEvent));
    }
    let mut events = event_stream::EventSplitter::default();
    let took = (0..70)
        .map(|_| events.push(&[b':'; 1024]))
        .take_while(Result::is_ok)
        .count();
    assert_eq!(took, 64, "an event without an end is not kept for ever");
}

#[test]
fn descriptors_are_shared_out_and_some_are_spare() {
    for sockets in [64, 256, 512, 768, 1024] {
        let config = config().replace(
            r#""limits":{}"#,
            &format!(r#""limits":{{"sockets":{sockets}}}"#),
        );
        let budgets = Config::parse(&config).unwrap().limits.socket_budgets();
        let (clients, nodes) = (budgets.clients, budgets.endpoints);
        assert_eq!(clients + nodes + 32, sockets);
        // SessionConfig fit into the clients' part and a small memory.
        let budget = SessionConfig::parse("{}")
            .unwrap()
            .fit_to_machine(clients, 32 << 20);
        let (sessions, shaking) = (budget.config, budget.handshake_sockets);
        assert!(sessions.max_sessions > 0 && sessions.max_sessions + shaking <= clients / 2);
        assert!(
            sessions.max_sessions * sessions.max_message_bytes + sessions.max_cache_bytes
                <= 12 << 20
        );
        // A third is open requests: as many connections to nodes, and as many idle ones beside.
        assert!(
            sockets < 256 || nodes >= sockets / 3 - 2 && clients >= sockets / 2,
            "{clients}, {nodes}"
        );
    }
}
