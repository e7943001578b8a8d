use super::*;
use crate::config::SettingsObject;
use quartzhall_recording::RecordedStatus;

fn recorder() -> TraceRecorder {
    let settings: SettingsObject =
        miniserde::json::from_str(r#"{"classes":[{"name":"chat","repeat":"free"}]}"#).unwrap();
    let deployment = Deployment::new(&settings).unwrap();
    TraceRecorder::new(Key::from_secret(b"test"), 0, "n1", &deployment)
}

/// The file format has no status for a missing KV cache, and readers of recordings rely on this encoding.
#[test]
fn a_missing_kv_cache_is_recorded_as_overloaded_with_one_cached_token() {
    let mut recorder = recorder();
    recorder.take_records();
    for reported_tokens in [0.0, 1.0, 4096.0] {
        recorder.record_attempt_end(7, 3, 1, AttemptStatus::KvStateMissing, reported_tokens, 0.0);
        let records = recorder.take_records();
        let [Record::AttemptEnded {
            at: 7,
            request: 3,
            attempt: 1,
            status,
            cached_tokens,
            completion_tokens: 0,
        }] = records[..]
        else {
            panic!("{records:?}");
        };
        assert_eq!((status, cached_tokens), (RecordedStatus::Overloaded, 1));
    }
}

#[test]
fn an_overloaded_attempt_is_recorded_with_its_own_cached_tokens() {
    let mut recorder = recorder();
    recorder.take_records();
    recorder.record_attempt_end(7, 3, 1, AttemptStatus::Overloaded, 0.0, 0.0);
    let records = recorder.take_records();
    let [Record::AttemptEnded {
        status,
        cached_tokens,
        ..
    }] = records[..]
    else {
        panic!("{records:?}");
    };
    assert_eq!((status, cached_tokens), (RecordedStatus::Overloaded, 0));
}
