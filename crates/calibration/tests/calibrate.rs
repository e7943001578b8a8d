//! Recordings of a fleet with known speeds: the calibration estimates them, or reports that it cannot.

use quartzhall_calibration::calibrate::{calibrate, Calibration};
use quartzhall_calibration::estimate::Estimate;
use quartzhall_recording::{Record, RecordedOutcome, RecordedRole, RecordedStatus, Writer};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::process::Command;

const PREFILL_TOKENS_PER_S: f64 = 18_000.0;
const PREFILL_WAIT_S: f64 = 0.03;
const TOKEN_TIME_S: f64 = 0.025;
const DECODE_WAIT_S: f64 = 0.2;

const REQUEST_INTERVAL_US: u64 = 600_000;
const OUTPUT_TOKENS: u32 = 150;

const PREFILL_NODE: u32 = 0;
const DECODE_NODE: u32 = 1;

fn node(at: u64, node: u32, role: RecordedRole) -> Record {
    Record::Endpoint {
        at,
        endpoint: node,
        role,
        cell: 0,
        ready: true,
        started: 0,
    }
}

fn arrival(at: u64, request: u64, prompt: u32) -> Record {
    Record::Arrival {
        at,
        request,
        class: 0,
        tenant: None,
        session: None,
        shared_prefix: None,
        prompt_tokens: prompt,
        prefix_tokens: 0,
        max_output_tokens: 500,
        expires_in: 7_500_000,
    }
}

/// The records of one request that arrives at `at`: prefill, then decode.
fn request_records(at: u64, request: u64, rng: &mut Pcg64) -> Vec<Record> {
    let prompt = rng.gen_range(500..8_000);
    let cached_tokens = rng.gen_range(0..prompt / 2);
    let mut noise = |time: f64| (time * rng.gen_range(0.8..1.2) * 1e6) as u64;
    let uncached_tokens = f64::from(prompt - cached_tokens);
    let prefill_end = at + noise(PREFILL_WAIT_S + uncached_tokens / PREFILL_TOKENS_PER_S);
    let first_event = prefill_end + noise(DECODE_WAIT_S);
    let end = first_event + noise(TOKEN_TIME_S * f64::from(OUTPUT_TOKENS));
    let sent = |at, attempt, node| Record::AttemptSent {
        at,
        request,
        attempt,
        endpoint: node,
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
        arrival(at, request, prompt),
        sent(at, 0, PREFILL_NODE),
        ended(prefill_end, 0, prefill_done, cached_tokens, 0),
        sent(prefill_end, 1, DECODE_NODE),
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

/// Requests one after another at one prefill and one decode replica, by a clock that starts at `clock`.
fn records(seed: u64, requests: u64, clock: u64) -> Vec<Record> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut all = vec![
        node(clock, PREFILL_NODE, RecordedRole::Prefill),
        node(clock, DECODE_NODE, RecordedRole::Decode),
    ];
    let mut at = clock;
    for request in 0..requests {
        at += REQUEST_INTERVAL_US;
        all.extend(request_records(at, request, &mut rng));
    }
    // Sorted by time, as a dispatcher writes them.
    all.sort_by_key(|record| match record {
        Record::Arrival { at, .. }
        | Record::AttemptSent { at, .. }
        | Record::FirstEvent { at, .. } => *at,
        Record::AttemptEnded { at, .. } | Record::RequestEnded { at, .. } => *at,
        _ => 0,
    });
    all
}

fn contains(estimate: Estimate, truth: f64, max_relative_width: f64) -> bool {
    let Estimate::Known { low, high, .. } = estimate else {
        panic!("{estimate:?}")
    };
    assert!(high - low < max_relative_width * truth, "{low} to {high}");
    (low..=high).contains(&truth)
}

#[test]
fn known_speeds_are_within_the_intervals() {
    let mut found = [0; 4];
    for seed in 0..40 {
        let calibration = calibrate(records(seed, 400, 1_700_000_000_000_000).into_iter(), seed);
        let [prefill, decode] = &calibration.roles[..] else {
            panic!("{calibration:?}")
        };
        found[0] += u32::from(contains(prefill.tokens_per_s, PREFILL_TOKENS_PER_S, 0.2));
        found[1] += u32::from(contains(prefill.wait_s, PREFILL_WAIT_S, 0.8));
        found[2] += u32::from(contains(decode.tokens_per_s, 1.0 / TOKEN_TIME_S, 0.1));
        found[3] += u32::from(contains(decode.wait_s, DECODE_WAIT_S, 0.1));
        assert_eq!(
            (
                calibration.requests,
                calibration.dropped,
                calibration.unended
            ),
            (400, 0, 0)
        );
    }
    assert!(
        found.iter().all(|found| (30..=40).contains(found)),
        "{found:?} of 40"
    );
}

/// Only spans between records count, neither the clock of a dispatcher nor the start of a block.
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
    // Missing ends are counted, and so are the records that the recorder dropped.
    let cut = records(1, 100, 0)
        .into_iter()
        .filter(|record| !matches!(record, Record::AttemptEnded { attempt: 1, .. }));
    let calibration = calibrate(cut.chain([Record::Dropped { records: 100 }]), 1);
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
