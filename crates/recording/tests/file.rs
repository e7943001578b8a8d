//! Recordings that are whole, cut off, damaged, or newer.

use quartzhall_recording::{
    Digest, DigestKind, Key, Reader, Record, RecordedOutcome, RecordedStatus, Recorder, Table,
    Writer, MARK, VERSION,
};
use quickcheck::{Gen, QuickCheck};
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

fn records() -> Vec<Record> {
    let arrival = |request| Record::Arrival {
        at: 1_700_000_000_000_000 + request * 50_000,
        request,
        class: 1,
        tenant: Some(2),
        session: Some(Digest(request / 3)),
        opening: None,
        prompt: 5120,
        prefix: 0,
        most: 800,
        expires_in: 7_500_000,
    };
    let mut all = vec![
        Record::Start {
            at: 1,
            dispatcher: "n1".into(),
            dispatchers: 3,
        },
        Record::Name {
            table: Table::Class,
            number: 1,
            name: "status-query".into(),
        },
    ];
    for request in 0..50 {
        all.push(arrival(request));
        all.push(Record::Sent {
            at: 2,
            request,
            attempt: 0,
            node: 7,
        });
        all.push(Record::First {
            at: 3,
            request,
            attempt: 0,
        });
        all.push(Record::Ended {
            at: 4,
            request,
            attempt: 0,
            status: RecordedStatus::Served,
            kept: 4096,
            written: 200,
        });
        all.push(Record::Final {
            at: 5,
            request,
            answer: RecordedOutcome::Served,
        });
    }
    all
}

fn written(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes).unwrap();
    records
        .iter()
        .for_each(|record| writer.write(record).unwrap());
    bytes
}

#[test]
fn what_was_written_is_read() {
    let bytes = written(&records());
    let mut reader = Reader::new(bytes.as_slice()).unwrap();
    let read: Vec<Record> = reader.by_ref().map(Result::unwrap).collect();
    assert_eq!(read, records());
    assert_eq!(
        (reader.was_cut(), reader.offset()),
        (false, bytes.len() as u64)
    );
    // 250 records about 50 requests: what a day of a million requests would take.
    assert!(
        bytes.len() / 50 < 150,
        "{} bytes a request",
        bytes.len() / 50
    );
}

#[test]
fn a_file_that_was_cut_off_is_read_up_to_its_last_whole_record() {
    let (all, bytes) = (records(), written(&records()));
    let ends: Vec<usize> = (0..=all.len())
        .map(|count| written(&all[..count]).len())
        .collect();
    for cut in ends[0]..bytes.len() {
        let mut reader = Reader::new(&bytes[..cut]).unwrap();
        let read: Vec<Record> = reader.by_ref().map(Result::unwrap).collect();
        let whole = ends.iter().filter(|end| **end <= cut).count() - 1;
        assert_eq!(
            (read.len(), reader.was_cut()),
            (whole, !ends.contains(&cut)),
            "cut at {cut}"
        );
        assert_eq!(reader.offset() as usize, ends[whole]);
    }
    for cut in 0..ends[0] {
        assert!(Reader::new(&bytes[..cut]).is_err());
    }
}

/// One flipped bit anywhere is found: the file is refused at that record, or, in a length, at the latest at its end.
#[test]
fn damage_is_refused_with_its_offset() {
    let bytes = written(&records()[..12]);
    let header = MARK.len() + 2;
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut bytes = bytes.clone();
            bytes[at] ^= 1 << bit;
            let Ok(mut reader) = Reader::new(bytes.as_slice()) else {
                assert!(at < header);
                continue;
            };
            assert!(at >= header, "the header, at {at}");
            let read: Vec<_> = reader.by_ref().collect();
            let damage = read.last().and_then(|last| last.as_ref().err());
            match damage {
                Some(damage) => assert!(damage.offset as usize <= at, "{damage}, at {at}"),
                // A length that points behind the end looks like a cut.
                None => assert!(
                    reader.was_cut() && reader.offset() as usize <= at,
                    "at {at}"
                ),
            }
        }
    }
}

#[test]
fn a_newer_file_is_refused_by_its_version() {
    let mut bytes = written(&records());
    bytes[MARK.len()..MARK.len() + 2].copy_from_slice(&(VERSION + 1).to_le_bytes());
    let refused = Reader::new(bytes.as_slice()).err().unwrap().to_string();
    assert!(
        refused.contains("at byte 8") && refused.contains("version 2"),
        "{refused}"
    );
}

#[test]
fn garbage_ends_in_a_reason() {
    let garbage = |bytes: Vec<u8>| {
        let whole = [&MARK[..], &VERSION.to_le_bytes(), &bytes].concat();
        let mut reader = Reader::new(whole.as_slice()).unwrap();
        let last = reader.by_ref().last();
        bytes.is_empty() || reader.was_cut() || last.is_some_and(|it| it.is_err())
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 5))
        .tests(500)
        .quickcheck(garbage as fn(_) -> _);
}

#[test]
fn digests_tell_sessions_apart_and_nothing_else() {
    let (key, other) = (Key::from_secret(b"one"), Key::from_secret(b"other"));
    let digest = key.digest(DigestKind::Session, b"7f3a");
    assert_eq!(digest, key.digest(DigestKind::Session, b"7f3a"));
    let others = [
        key.digest(DigestKind::Session, b"7f3b"),
        key.digest(DigestKind::Opening, b"7f3a"),
        other.digest(DigestKind::Session, b"7f3a"),
    ];
    assert!(!others.contains(&digest));
}

/// A file that takes nothing until it is told to.
struct Slow {
    go: Receiver<()>,
    waits: Sender<()>,
    bytes: Arc<Mutex<Vec<u8>>>,
    begun: bool,
}

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The header is written by whoever starts the recorder.
        if std::mem::replace(&mut self.begun, true) {
            let _ = self.waits.send(());
            let _ = self.go.recv();
        }
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// While the file stalls, records are dropped and counted, and nobody waits; afterwards the count stands in the gap.
#[test]
fn a_full_queue_drops_and_counts() {
    let ((go_on, go), (waits, waiting)) = (channel(), channel());
    let bytes: Arc<Mutex<Vec<u8>>> = Arc::default();
    let recorder = Recorder::start(
        Slow {
            go,
            waits,
            bytes: bytes.clone(),
            begun: false,
        },
        10,
    )
    .unwrap();
    let long = |request| Record::Name {
        table: Table::Node,
        number: request,
        name: "n".repeat(3000),
    };
    // More than the buffer holds: the thread comes to a write and stands there.
    let mut number = 0;
    while waiting.try_recv().is_err() {
        recorder.note(long(number));
        number += 1;
        std::thread::yield_now();
    }
    (0..100).for_each(|more| recorder.note(long(number + more)));
    drop(go_on);
    recorder.end().unwrap();
    let bytes = bytes.lock().unwrap().clone();
    let read: Vec<Record> = Reader::new(bytes.as_slice())
        .unwrap()
        .map(Result::unwrap)
        .collect();
    let dropped = |record: &Record| match record {
        Record::Dropped { records } => *records,
        _ => 0,
    };
    let missing: u64 = read.iter().map(dropped).sum();
    let kept = read
        .iter()
        .filter(|record| matches!(record, Record::Name { .. }))
        .count() as u64;
    assert_eq!(missing + kept, u64::from(number) + 100);
    assert!(missing >= 90, "{missing}");
}
