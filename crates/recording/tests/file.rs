//! Writing and reading of recordings that are complete, truncated, damaged or of a newer version, digests, and the recorder's
//! queue.

use quartzhall_recording::{
    Digest, DigestKind, Key, Reader, Record, RecordedOutcome, RecordedStatus, Recorder, Table,
    Writer, MAGIC, VERSION,
};
use quickcheck::{Gen, QuickCheck};
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

/// Returns the records of 50 requests with one attempt each, after a start and a name.
fn records() -> Vec<Record> {
    let arrival = |request| Record::Arrival {
        at: 1_700_000_000_000_000 + request * 50_000,
        request,
        class: 1,
        tenant: Some(2),
        session: Some(Digest(request / 3)),
        shared_prefix: None,
        prompt_tokens: 5120,
        prefix_tokens: 0,
        max_output_tokens: 800,
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
        all.push(Record::AttemptSent {
            at: 2,
            request,
            attempt: 0,
            endpoint: 7,
        });
        all.push(Record::FirstEvent {
            at: 3,
            request,
            attempt: 0,
        });
        all.push(Record::AttemptEnded {
            at: 4,
            request,
            attempt: 0,
            status: RecordedStatus::Served,
            cached_tokens: 4096,
            completion_tokens: 200,
        });
        all.push(Record::RequestEnded {
            at: 5,
            request,
            outcome: RecordedOutcome::Served,
        });
    }
    all
}

fn encode(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes).unwrap();
    for record in records {
        writer.write(record).unwrap();
    }
    bytes
}

#[test]
fn written_records_are_read_back() {
    let bytes = encode(&records());
    let mut reader = Reader::new(bytes.as_slice()).unwrap();
    let read: Vec<Record> = reader.by_ref().map(Result::unwrap).collect();
    assert_eq!(read, records());
    assert!(!reader.is_truncated());
    assert_eq!(reader.offset(), bytes.len() as u64);
    // Limits the size of a recording: a day with a million requests stays below 150 MB.
    assert!(
        bytes.len() / 50 < 150,
        "{} bytes per request",
        bytes.len() / 50
    );
}

#[test]
fn truncated_file_is_read_up_to_its_last_complete_record() {
    let all = records();
    let bytes = encode(&all);
    let ends: Vec<usize> = (0..=all.len())
        .map(|count| encode(&all[..count]).len())
        .collect();
    for cut in ends[0]..bytes.len() {
        let mut reader = Reader::new(&bytes[..cut]).unwrap();
        let read: Vec<Record> = reader.by_ref().map(Result::unwrap).collect();
        let complete = ends.iter().filter(|end| **end <= cut).count() - 1;
        assert_eq!(
            (read.len(), reader.is_truncated()),
            (complete, !ends.contains(&cut)),
            "cut at {cut}"
        );
        assert_eq!(reader.offset() as usize, ends[complete]);
    }
    for cut in 0..ends[0] {
        assert!(Reader::new(&bytes[..cut]).is_err());
    }
}

/// Reading ends at the record with the flipped bit. A flipped bit in a length may look like a truncation instead, because the
/// body then reaches beyond the end of the file.
#[test]
fn flipped_bit_is_detected_with_its_offset() {
    let bytes = encode(&records()[..12]);
    let header = MAGIC.len() + 2;
    for index in 0..bytes.len() {
        for bit in 0..8 {
            let mut bytes = bytes.clone();
            bytes[index] ^= 1 << bit;
            let Ok(mut reader) = Reader::new(bytes.as_slice()) else {
                assert!(index < header);
                continue;
            };
            assert!(
                index >= header,
                "damage in the header was not detected, at byte {index}"
            );
            let read: Vec<_> = reader.by_ref().collect();
            let error = read.last().and_then(|last| last.as_ref().err());
            match error {
                Some(error) => assert!(error.offset as usize <= index, "{error}, at {index}"),
                // The damaged length reaches beyond the end of the file.
                None => assert!(
                    reader.is_truncated() && reader.offset() as usize <= index,
                    "at {index}"
                ),
            }
        }
    }
}

#[test]
fn newer_version_is_rejected() {
    let mut bytes = encode(&records());
    bytes[MAGIC.len()..MAGIC.len() + 2].copy_from_slice(&(VERSION + 1).to_le_bytes());
    let error = Reader::new(bytes.as_slice()).err().unwrap().to_string();
    assert!(
        error.contains("at byte 8") && error.contains("version 2"),
        "{error}"
    );
}

#[test]
fn random_bytes_end_in_an_error_or_truncation() {
    let ends_in_error_or_truncation = |bytes: Vec<u8>| {
        let file = [&MAGIC[..], &VERSION.to_le_bytes(), &bytes].concat();
        let mut reader = Reader::new(file.as_slice()).unwrap();
        let last = reader.by_ref().last();
        bytes.is_empty() || reader.is_truncated() || last.is_some_and(|record| record.is_err())
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 5))
        .tests(500)
        .quickcheck(ends_in_error_or_truncation as fn(_) -> _);
}

#[test]
fn digests_depend_on_key_kind_and_name() {
    let key = Key::from_secret(b"one");
    let other = Key::from_secret(b"other");
    let digest = key.digest(DigestKind::Session, b"7f3a");
    assert_eq!(digest, key.digest(DigestKind::Session, b"7f3a"));
    let others = [
        key.digest(DigestKind::Session, b"7f3b"),
        key.digest(DigestKind::SharedPrefix, b"7f3a"),
        other.digest(DigestKind::Session, b"7f3a"),
    ];
    assert!(!others.contains(&digest));
}

/// An output that blocks from the second write on, until the sender of `unblock` is dropped.
struct BlockingOutput {
    unblock: Receiver<()>,
    /// Notified before each write that blocks.
    blocked: Sender<()>,
    bytes: Arc<Mutex<Vec<u8>>>,
    has_header: bool,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // `Recorder::start` writes the header in the thread of the test, which must not block.
        if std::mem::replace(&mut self.has_header, true) {
            let _ = self.blocked.send(());
            let _ = self.unblock.recv();
        }
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// While the output blocks, the recorder drops and counts records without waiting. The count is written once the output
/// accepts records again.
#[test]
fn full_queue_drops_and_counts_records() {
    let (unblock_sender, unblock) = channel();
    let (blocked, blocked_receiver) = channel();
    let bytes: Arc<Mutex<Vec<u8>>> = Arc::default();
    let recorder = Recorder::start(
        BlockingOutput {
            unblock,
            blocked,
            bytes: bytes.clone(),
            has_header: false,
        },
        10,
    )
    .unwrap();
    let long_record = |number| Record::Name {
        table: Table::Endpoint,
        number,
        name: "n".repeat(3000),
    };
    // Fills the writer's buffer, until the recorder's thread blocks in a write.
    let mut number = 0;
    while blocked_receiver.try_recv().is_err() {
        recorder.record(long_record(number));
        number += 1;
        std::thread::yield_now();
    }
    for more in 0..100 {
        recorder.record(long_record(number + more));
    }
    drop(unblock_sender);
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
    let written = read
        .iter()
        .filter(|record| matches!(record, Record::Name { .. }))
        .count() as u64;
    assert_eq!(missing + written, u64::from(number) + 100);
    assert!(missing >= 90, "{missing}");
}
