//! Calibration from generated recordings of a fleet whose speeds are known, and from incomplete or damaged ones.

use quartzhall_calibration::calibrate::{calibrate, Calibration};
use quartzhall_calibration::estimate::Estimate;
use quartzhall_recording::{Record, RecordedOutcome, RecordedRole, RecordedStatus, Writer};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::process::Command;

const PREFILL_TOKENS_PER_S: f64 = 18_000.0;
/// The duration of a prefill without uncached tokens.
const PREFILL_LATENCY_S: f64 = 0.03;
/// The time per output token of a stream.
const TOKEN_TIME_S: f64 = 0.025;
/// The time to the first event of a decode attempt.
const DECODE_LATENCY_S: f64 = 0.2;

const REQUEST_INTERVAL_US: u64 = 600_000;
const OUTPUT_TOKENS: u32 = 150;

const PREFILL_ENDPOINT: u32 = 0;
const DECODE_ENDPOINT: u32 = 1;

fn endpoint(at: u64, endpoint: u32, role: RecordedRole) -> Record {
    Record::Endpoint {
        at,
        endpoint,
        role,
        cell: 0,
        ready: true,
        started: 0,
    }
}

fn arrival(at: u64, request: u64, prompt_tokens: u32) -> Record {
    Record::Arrival {
        at,
        request,
        class: 0,
        tenant: None,
        session: None,
        shared_prefix: None,
        prompt_tokens,
        prefix_tokens: 0,
        max_output_tokens: 500,
        expires_in: 7_500_000,
    }
}

/// Returns the records of one request that arrives at `at`: a prefill attempt, then a decode attempt, with random sizes and
/// noise in the durations.
fn request_records(at: u64, request: u64, rng: &mut Pcg64) -> Vec<Record> {
    let prompt_tokens = rng.gen_range(500..8_000);
    let cached_tokens = rng.gen_range(0..prompt_tokens / 2);
    let mut noise = |time: f64| (time * rng.gen_range(0.8..1.2) * 1e6) as u64;
    let uncached_tokens = f64::from(prompt_tokens - cached_tokens);
    let prefill_end = at + noise(PREFILL_LATENCY_S + uncached_tokens / PREFILL_TOKENS_PER_S);
    let first_event = prefill_end + noise(DECODE_LATENCY_S);
    let end = first_event + noise(TOKEN_TIME_S * f64::from(OUTPUT_TOKENS));
    let sent = |at, attempt, endpoint| Record::AttemptSent {
        at,
        request,
        attempt,
        endpoint,
    };
    let ended = |at, attempt, status, cached_tokens, completion_tokens| Record::AttemptEnded {
        at,
        request,
        attempt,
        status,
        cached_tokens,
        completion_tokens,
    };
    let prefill_done = RecordedStatus::PrefillDone;
    vec![
        arrival(at, request, prompt_tokens),
        sent(at, 0, PREFILL_ENDPOINT),
        ended(prefill_end, 0, prefill_done, cached_tokens, 0),
        sent(prefill_end, 1, DECODE_ENDPOINT),
        Record::FirstEvent {
            at: first_event,
            request,
            attempt: 1,
        },
        ended(end, 1, RecordedStatus::Served, 0, OUTPUT_TOKENS),
        Record::RequestEnded {
            at: end,
            request,
            outcome: RecordedOutcome::Served,
        },
    ]
}

/// Returns the records of requests at a constant interval, at one prefill and one decode endpoint. `clock` is the time at the
/// start, in Unix microseconds.
fn records(seed: u64, requests: u64, clock: u64) -> Vec<Record> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut all = vec![
        endpoint(clock, PREFILL_ENDPOINT, RecordedRole::Prefill),
        endpoint(clock, DECODE_ENDPOINT, RecordedRole::Decode),
    ];
    let mut at = clock;
    for request in 0..requests {
        at += REQUEST_INTERVAL_US;
        all.extend(request_records(at, request, &mut rng));
    }
    // A dispatcher writes its records in the order of time.
    all.sort_by_key(|record| match record {
        Record::Arrival { at, .. }
        | Record::AttemptSent { at, .. }
        | Record::FirstEvent { at, .. } => *at,
        Record::AttemptEnded { at, .. } | Record::RequestEnded { at, .. } => *at,
        _ => 0,
    });
    all
}

/// Returns whether the interval contains the true value. Panics if there is no estimate, or if the interval is wider than this
/// share of the true value.
fn interval_contains(estimate: Estimate, truth: f64, max_relative_width: f64) -> bool {
    let Estimate::Known { low, high, .. } = estimate else {
        panic!("{estimate:?}")
    };
    assert!(high - low < max_relative_width * truth, "{low} to {high}");
    (low..=high).contains(&truth)
}

#[test]
fn known_speeds_are_within_the_intervals() {
    let mut covered = [0; 4];
    for seed in 0..40 {
        let calibration = calibrate(records(seed, 400, 1_700_000_000_000_000).into_iter(), seed);
        let [prefill, decode] = &calibration.roles[..] else {
            panic!("{calibration:?}")
        };
        covered[0] += u32::from(interval_contains(
            prefill.tokens_per_s,
            PREFILL_TOKENS_PER_S,
            0.2,
        ));
        covered[1] += u32::from(interval_contains(prefill.latency_s, PREFILL_LATENCY_S, 0.8));
        covered[2] += u32::from(interval_contains(
            decode.tokens_per_s,
            1.0 / TOKEN_TIME_S,
            0.1,
        ));
        covered[3] += u32::from(interval_contains(decode.latency_s, DECODE_LATENCY_S, 0.1));
        assert_eq!(
            (
                calibration.requests,
                calibration.dropped,
                calibration.unended
            ),
            (400, 0, 0)
        );
    }
    // 36 of 40 are expected of 90% intervals; the bound allows for random variation.
    assert!(
        covered.iter().all(|covered| (30..=40).contains(covered)),
        "{covered:?} of 40"
    );
}

/// The calibration uses only differences of times, so the clock of a dispatcher may be wrong.
#[test]
fn offset_of_the_clock_does_not_change_the_estimate() {
    let value = |calibration: Calibration| match calibration.roles[0].tokens_per_s {
        Estimate::Known { value, .. } => value,
        other => panic!("{other:?}"),
    };
    let (one, other) = (
        records(1, 300, 1_700_000_000_000_000),
        records(1, 300, 1_700_009_000_000_000),
    );
    assert!(
        (value(calibrate(one.into_iter(), 1)) - value(calibrate(other.into_iter(), 1))).abs()
            < 1e-6
    );
}

#[test]
fn missing_data_gives_no_estimate() {
    let calibration = calibrate(records(1, 20, 0).into_iter(), 1);
    assert!(calibration
        .roles
        .iter()
        .all(|role| matches!(role.tokens_per_s, Estimate::Unknown { .. })));
    // Attempts without a recorded end are counted, and so are the records that the recorder dropped.
    let without_decode_ends = records(1, 100, 0)
        .into_iter()
        .filter(|record| !matches!(record, Record::AttemptEnded { attempt: 1, .. }));
    let calibration = calibrate(
        without_decode_ends.chain([Record::Dropped { records: 100 }]),
        1,
    );
    assert_eq!((calibration.unended, calibration.dropped), (100, 100));
    assert!(matches!(
        calibration.roles[1].tokens_per_s,
        Estimate::Unknown { samples: 0, .. }
    ));
}

#[test]
fn command_reports_file_offset_and_reason_of_damage() {
    let folder = std::env::temp_dir().join(format!("quartzhall-model-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("traffic.qhr");
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes).unwrap();
    for record in records(1, 300, 0) {
        writer.write(&record).unwrap();
    }
    let run = |bytes: &[u8]| {
        std::fs::write(&path, bytes).unwrap();
        let program = env!("CARGO_BIN_EXE_quartzhall-calibration");
        let output = Command::new(program)
            .arg("calibrate")
            .arg(&path)
            .output()
            .unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (
            output.status.success(),
            text(&output.stdout),
            text(&output.stderr),
        )
    };
    let (is_success, output, _) = run(&bytes);
    assert!(
        is_success && output.contains("300 requests") && output.contains("tokens a second"),
        "{output}"
    );
    let (is_success, output, _) = run(&bytes[..bytes.len() - 3]);
    assert!(is_success && output.contains("cut off at byte"), "{output}");
    let middle = bytes.len() / 2;
    let mut damaged = bytes.clone();
    damaged[middle] ^= 0x10;
    let (is_success, _, error) = run(&damaged);
    assert!(
        !is_success && error.contains("traffic.qhr: at byte") && error.lines().count() == 1,
        "{error}"
    );
    let (is_success, _, error) = run(b"no recording");
    assert!(!is_success && error.contains("not a recording"), "{error}");
    let _ = std::fs::remove_dir_all(folder);
}
