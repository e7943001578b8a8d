//! Records beside a running dispatcher: a bounded queue and a thread. A full queue drops and counts, and slows nobody.

use crate::{Record, Writer};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// What was written reaches the file within this time.
const FLUSH: Duration = Duration::from_secs(1);

/// Takes records in. Letting it go ends the file.
pub struct Recorder {
    queue: Option<SyncSender<Record>>,
    dropped: Arc<AtomicU64>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Recorder {
    /// Writes to a file from now on; `room` records may wait for it.
    pub fn start(to: impl Write + Send + 'static, room: usize) -> io::Result<Recorder> {
        let mut writer = Writer::new(io::BufWriter::new(to))?;
        writer.flush()?;
        let (queue, records) = sync_channel(room);
        let dropped = Arc::new(AtomicU64::new(0));
        let missing = dropped.clone();
        let work = move || write(&mut writer, &records, &missing);
        let thread = std::thread::Builder::new()
            .name("recorder".into())
            .spawn(work)?;
        Ok(Recorder {
            queue: Some(queue),
            dropped,
            thread: Some(thread),
        })
    }

    /// Takes a record in, or counts it as dropped. Never waits.
    pub fn note(&self, record: Record) {
        let Some(queue) = &self.queue else { return };
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = queue.try_send(record) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes what waits and ends the file; the error is the first one that writing met.
    pub fn end(mut self) -> io::Result<()> {
        self.finish()
    }

    fn finish(&mut self) -> io::Result<()> {
        self.queue = None;
        match self.thread.take().map(JoinHandle::join) {
            None => Ok(()),
            Some(ended) => {
                ended.unwrap_or_else(|_| Err(io::Error::other("the recorder's thread died")))
            }
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let _ = self.finish();
    }
}

fn write<W: Write>(
    writer: &mut Writer<W>,
    records: &Receiver<Record>,
    dropped: &AtomicU64,
) -> io::Result<()> {
    let mut flushed = true;
    loop {
        let next = records.recv_timeout(FLUSH);
        // The count stands where the gap is: before the first record that found room again.
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            writer.write(&Record::Dropped { records: missing })?;
        }
        match next {
            Ok(record) => {
                writer.write(&record)?;
                flushed = false;
            }
            Err(RecvTimeoutError::Timeout) if flushed => {}
            Err(RecvTimeoutError::Timeout) => {
                writer.flush()?;
                flushed = true;
            }
            Err(RecvTimeoutError::Disconnected) => return writer.flush(),
        }
    }
}
