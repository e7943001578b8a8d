//! Tests of the records that the core writes about its requests.

mod dispatcher_harness;

use dispatcher_harness::{deployment, endpoint, metadata, profile, CoreHarness, MS, START};
use quartzhall::dispatcher::{EndReason, Event};
use quartzhall::recording::TraceRecorder;
use quartzhall::routing::api::{AttemptStatus, EndpointStatus, RequestMetadata, Role};
use quartzhall_recording::{Key, Record, Table};

const SECRET_SESSION: u64 = 0x7f3a_9c21_e0b4_d655;

/// Returns the records of four requests. Request 1 is served. The client of request 2 disconnects, then its stream breaks.
/// The client of request 3 disconnects before a stream has started. Request 4 is shed.
fn record_four_requests() -> Vec<Record> {
    let mut harness = CoreHarness::new(10);
    harness.core.set_trace_recorder(TraceRecorder::new(
        Key::from_secret(b"test"),
        START,
        "n1",
        &deployment(profile::SETTINGS),
    ));
    harness.update_endpoints(vec![endpoint("ww", Role::Decode, EndpointStatus::Draining)]);
    harness.update_endpoints(vec![endpoint("ww", Role::Decode, EndpointStatus::Ready)]);
    let mut outcomes = Vec::new();
    for (id, session) in [
        (1, Some(SECRET_SESSION)),
        (2, Some(SECRET_SESSION)),
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
    let _served_chunks = harness.start_stream(1, 1);
    harness.handle(Event::AttemptEnded {
        id: 1,
        attempt: 1,
        reason: EndReason::Served,
        cached_tokens: 4096.0,
        completion_tokens: 200.0,
        load: None,
    });
    let _broken_chunks = harness.start_stream(2, 1);
    harness.disconnect(2);
    harness.end_attempt(2, 1, AttemptStatus::Reset);
    harness.disconnect(3);
    harness.advance(3_000 * MS);
    let records = harness.core.take_records();
    assert!(harness.core.take_records().is_empty());
    records
}

#[test]
fn a_recording_names_classes_tenants_and_endpoints_once() {
    let records = record_four_requests();
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
        names(Table::Endpoint).len(),
        1,
        "one name per endpoint, however often it is reported"
    );
}

#[test]
fn a_recording_has_digests_of_sessions_and_no_session() {
    let records = record_four_requests();
    let session = |record: &Record| match record {
        Record::Arrival { session, .. } => Some(*session),
        _ => None,
    };
    let sessions: Vec<_> = records.iter().filter_map(session).collect();
    assert!(sessions[0] == sessions[1] && sessions[0] != sessions[2] && sessions[3].is_none());
    assert!(!format!("{records:?}").contains(&SECRET_SESSION.to_string()));
}

#[test]
fn a_recording_has_the_end_of_an_attempt_with_its_tokens() {
    let records = record_four_requests();
    let expected = Record::AttemptEnded {
        at: START,
        request: 1,
        attempt: 1,
        status: quartzhall_recording::RecordedStatus::Served,
        cached_tokens: 4096,
        completion_tokens: 200,
    };
    let without_time = |record: &Record| {
        format!("{record:?}")
            .split_once("request")
            .map(|(_, rest)| rest.to_owned())
    };
    assert!(
        records
            .iter()
            .any(|record| without_time(record) == without_time(&expected)),
        "{records:?}"
    );
}

#[test]
fn a_recording_has_the_outcome_of_each_request_once() {
    let mut records = record_four_requests();
    records.retain(|record| matches!(record, Record::RequestEnded { .. }));
    let outcomes = records.iter().map(|record| match record {
        Record::RequestEnded {
            request, outcome, ..
        } => (*request, *outcome),
        _ => unreachable!(),
    });
    let mut outcomes: Vec<_> = outcomes.collect();
    outcomes.sort_by_key(|(request, _)| *request);
    use quartzhall_recording::RecordedOutcome::{ClientDisconnected, Served, Shed};
    assert_eq!(
        outcomes,
        [
            (1, Served),
            (2, ClientDisconnected),
            (3, ClientDisconnected),
            (4, Shed)
        ]
    );
}
