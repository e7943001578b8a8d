//! Recordings of a fleet whose figures are known: the calibration finds them, or says that it can't.

use quartzhall_calibration::calibrate::{calibrate, Calibration};
use quartzhall_calibration::estimate::Figure;
use quartzhall_recording::{Record, RecordedOutcome, RecordedRole, RecordedStatus, Writer};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::process::Command;

const READ_PER_S: f64 = 18_000.0;
const READ_WAIT: f64 = 0.03;
const PACE: f64 = 0.025;
const WRITE_WAIT: f64 = 0.2;

/// Requests one after another at one reader and one writer, by a clock that starts anywhere.
fn records(seed: u64, requests: u64, clock: u64) -> Vec<Record> {
    let mut random = Pcg64::seed_from_u64(seed);
    let node = |node, role| Record::Node {
        at: clock,
        node,
        role,
        cell: 0,
        ready: true,
        started: 0,
    };
    let mut all = vec![
        node(0, RecordedRole::Prefill),
        node(1, RecordedRole::Decode),
    ];
    let mut at = clock;
    for request in 0..requests {
        at += 600_000;
        let prompt = random.gen_range(500..8_000);
        let kept = random.gen_range(0..prompt / 2);
        let mut noise = |time: f64| (time * random.gen_range(0.8..1.2) * 1e6) as u64;
        all.push(Record::Arrival {
            at,
            request,
            class: 0,
            tenant: None,
            session: None,
            opening: None,
            prompt,
            prefix: 0,
            most: 500,
            expires_in: 7_500_000,
        });
        all.push(Record::Sent {
            at,
            request,
            attempt: 0,
            node: 0,
        });
        let read = at + noise(READ_WAIT + f64::from(prompt - kept) / READ_PER_S);
        let ended = |at, attempt, status, kept, written| Record::Ended {
            at,
            request,
            attempt,
            status,
            kept,
            written,
        };
        all.push(ended(read, 0, RecordedStatus::PrefillDone, kept, 0));
        all.push(Record::Sent {
            at: read,
            request,
            attempt: 1,
            node: 1,
        });
        let first = read + noise(WRITE_WAIT);
        all.push(Record::First {
            at: first,
            request,
            attempt: 1,
        });
        let end = first + noise(PACE * 150.0);
        all.push(ended(end, 1, RecordedStatus::Served, 0, 150));
        all.push(Record::Final {
            at: end,
            request,
            answer: RecordedOutcome::Served,
        });
    }
    // In the order of their times, as a dispatcher writes them.
    all.sort_by_key(|record| match record {
        Record::Arrival { at, .. } | Record::Sent { at, .. } | Record::First { at, .. } => *at,
        Record::Ended { at, .. } | Record::Final { at, .. } => *at,
        _ => 0,
    });
    all
}

fn holds(figure: Figure, truth: f64, widest: f64) -> bool {
    let Figure::Known { low, high, .. } = figure else {
        panic!("{figure:?}")
    };
    assert!(high - low < widest * truth, "{low} to {high}");
    (low..=high).contains(&truth)
}

#[test]
fn known_figures_are_found() {
    let mut found = [0; 4];
    for seed in 0..40 {
        let told = calibrate(records(seed, 400, 1_700_000_000_000_000).into_iter(), seed);
        let [reader, writer] = &told.roles[..] else {
            panic!("{told:?}")
        };
        found[0] += u32::from(holds(reader.tokens_per_s, READ_PER_S, 0.2));
        found[1] += u32::from(holds(reader.wait_s, READ_WAIT, 0.8));
        found[2] += u32::from(holds(writer.tokens_per_s, 1.0 / PACE, 0.1));
        found[3] += u32::from(holds(writer.wait_s, WRITE_WAIT, 0.1));
        assert_eq!((told.requests, told.dropped, told.unended), (400, 0, 0));
    }
    assert!(
        found.iter().all(|found| (30..=40).contains(found)),
        "{found:?} of 40"
    );
}

/// Another dispatcher's clock, hours off, changes nothing: only spans count. So does the start of a block.
#[test]
fn clocks_that_disagree_do_no_harm() {
    let value = |told: Calibration| match told.roles[0].tokens_per_s {
        Figure::Known { value, .. } => value,
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
fn what_is_not_told_is_not_guessed() {
    let told = calibrate(records(1, 20, 0).into_iter(), 1);
    assert!(told
        .roles
        .iter()
        .all(|it| matches!(it.tokens_per_s, Figure::Unknown { .. })));
    // Ends that are missing are counted, and so is what the recorder dropped.
    let cut = records(1, 100, 0)
        .into_iter()
        .filter(|it| !matches!(it, Record::Ended { attempt: 1, .. }));
    let told = calibrate(cut.chain([Record::Dropped { records: 100 }]), 1);
    assert_eq!((told.unended, told.dropped), (100, 100));
    assert!(matches!(
        told.roles[1].tokens_per_s,
        Figure::Unknown { samples: 0, .. }
    ));
}

#[test]
fn the_command_names_the_file_the_place_and_the_reason() {
    let folder = std::env::temp_dir().join(format!("quartzhall-model-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("traffic.qhr");
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes).unwrap();
    records(1, 300, 0)
        .iter()
        .for_each(|record| writer.write(record).unwrap());
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
    let (good, said, _) = run(&bytes);
    assert!(
        good && said.contains("300 requests") && said.contains("tokens a second"),
        "{said}"
    );
    let (good, said, _) = run(&bytes[..bytes.len() - 3]);
    assert!(good && said.contains("cut off at byte"), "{said}");
    let middle = bytes.len() / 2;
    let mut damaged = bytes.clone();
    damaged[middle] ^= 0x10;
    let (good, _, error) = run(&damaged);
    assert!(
        !good && error.contains("traffic.qhr: at byte") && error.lines().count() == 1,
        "{error}"
    );
    let (good, _, error) = run(b"no recording");
    assert!(!good && error.contains("not a recording"), "{error}");
    let _ = std::fs::remove_dir_all(folder);
}
