//! What the core records of its requests.

mod dispatcher_harness;

use dispatcher_harness::{deployment, endpoint, metadata, profile, CoreHarness, MS, START};
use quartzhall::dispatcher::{EndReason, Event};
use quartzhall::recording::TraceRecorder;
use quartzhall::routing::api::{AttemptStatus, EndpointStatus, RequestMetadata, Role};
use quartzhall_recording::{Key, Record, Table};

/// A recording has each request's arrival, attempts and outcome once; and names no session.
#[test]
fn a_recording_has_each_request_once_and_no_session() {
    let mut harness = CoreHarness::new(10);
    let deployment = deployment(profile::PROFILE);
    harness.core.set_trace_recorder(TraceRecorder::new(
        Key::from_secret(b"test"),
        START,
        "n1",
        &deployment,
    ));
    harness.update_endpoints(vec![endpoint("ww", Role::Decode, EndpointStatus::Draining)]);
    harness.update_endpoints(vec![endpoint("ww", Role::Decode, EndpointStatus::Ready)]);
    let secret = 0x7f3a_9c21_e0b4_d655;
    let mut outcomes = Vec::new();
    for (id, session) in [
        (1, Some(secret)),
        (2, Some(secret)),
        (3, Some(5)),
        (4, None),
    ] {
        let request = RequestMetadata {
            session,
            ..metadata(id)
        };
        outcomes.push(harness.submit_request(request, &format!("r{id}")));
        harness.end_attempt(id, 0, AttemptStatus::PrefillDone);
    }
    // One is served, one breaks after its client has disconnected, one's client disconnects, one is shed.
    let _chunks = harness.start_stream(1, 1);
    harness.handle(Event::AttemptEnded {
        id: 1,
        attempt: 1,
        reason: EndReason::Served,
        cached_tokens: 4096.0,
        completion_tokens: 200.0,
        load: None,
    });
    let _chunks = harness.start_stream(2, 1);
    harness.disconnect(2);
    harness.end_attempt(2, 1, AttemptStatus::Reset);
    harness.disconnect(3);
    harness.advance(3_000 * MS);
    let mut records = harness.core.take_records();
    assert!(harness.core.take_records().is_empty());
    let names = |wanted| {
        let name = |record: &Record| match record {
            Record::Name {
                table,
                number,
                name,
            } if *table == wanted => Some((*number, name.clone())),
            _ => None,
        };
        records.iter().filter_map(name).collect::<Vec<_>>()
    };
    assert_eq!(
        names(Table::Class),
        [(0, "status-query".into()), (1, "return-request".into())]
    );
    assert_eq!(names(Table::Tenant), [(0, "acme".into())]);
    assert_eq!(
        names(Table::Node).len(),
        1,
        "once, however often it is reported"
    );
    let sessions = |record: &Record| match record {
        Record::Arrival { session, .. } => Some(*session),
        _ => None,
    };
    let sessions: Vec<_> = records.iter().filter_map(sessions).collect();
    assert!(sessions[0] == sessions[1] && sessions[0] != sessions[2] && sessions[3].is_none());
    assert!(!format!("{records:?}").contains(&secret.to_string()));
    let ended = Record::Ended {
        at: harness.now,
        request: 1,
        attempt: 1,
        status: quartzhall_recording::RecordedStatus::Served,
        kept: 4096,
        written: 200,
    };
    let without_time = |record: &Record| {
        format!("{record:?}")
            .split_once("request")
            .map(|(_, rest)| rest.to_owned())
    };
    assert!(
        records
            .iter()
            .any(|record| without_time(record) == without_time(&ended)),
        "{records:?}"
    );
    records.retain(|record| matches!(record, Record::Final { .. }));
    let finals = records.iter().map(|record| match record {
        Record::Final {
            request, answer, ..
        } => (*request, *answer),
        _ => unreachable!(),
    });
    let mut finals: Vec<_> = finals.collect();
    finals.sort_by_key(|(request, _)| *request);
    use quartzhall_recording::RecordedOutcome::{ClientDisconnected, Served, Shed};
    assert_eq!(
        finals,
        [
            (1, Served),
            (2, ClientDisconnected),
            (3, ClientDisconnected),
            (4, Shed)
        ]
    );
}
