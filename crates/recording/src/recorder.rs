//! Recording beside a running dispatcher: a bounded queue and a thread that owns the file. If the queue is full, records are
//! dropped and counted, and the dispatcher does not wait.

use crate::{Record, Writer};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Written records reach the file within this time.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Writes records from a thread of its own. Dropping it finishes the file.
pub struct Recorder {
    queue: Option<SyncSender<Record>>,
    dropped: Arc<AtomicU64>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Recorder {
    /// Writes the header and starts the thread; up to `capacity` records are queued.
    ///
    /// # Errors
    ///
    /// Fails if the header cannot be written or the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static, capacity: usize) -> io::Result<Recorder> {
        let mut writer = Writer::new(io::BufWriter::new(output))?;
        writer.flush()?;
        let (queue, records) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        let thread = std::thread::Builder::new()
            .name("recorder".into())
            .spawn(move || write_records(&mut writer, &records, &thread_dropped))?;
        Ok(Recorder {
            queue: Some(queue),
            dropped,
            thread: Some(thread),
        })
    }

    /// Queues a record, or counts it as dropped if the queue is full. Never waits.
    pub fn record(&self, record: Record) {
        let Some(queue) = &self.queue else { return };
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = queue.try_send(record) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes the queued records and finishes the file.
    ///
    /// # Errors
    ///
    /// Returns the first error of the output.
    pub fn end(mut self) -> io::Result<()> {
        self.finish()
    }

    fn finish(&mut self) -> io::Result<()> {
        self.queue = None;
        let Some(thread) = self.thread.take() else {
            return Ok(());
        };
        thread
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the recorder's thread died")))
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let _ = self.finish();
    }
}

fn write_records<W: Write>(
    writer: &mut Writer<W>,
    records: &Receiver<Record>,
    dropped: &AtomicU64,
) -> io::Result<()> {
    let mut is_flushed = true;
    loop {
        let next = records.recv_timeout(FLUSH_INTERVAL);
        // The count is written where the gap is: before the first record that was queued again.
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            writer.write(&Record::Dropped { records: missing })?;
        }
        match next {
            Ok(record) => {
                writer.write(&record)?;
                is_flushed = false;
            }
            Err(RecvTimeoutError::Timeout) if is_flushed => {}
            Err(RecvTimeoutError::Timeout) => {
                writer.flush()?;
                is_flushed = true;
            }
            Err(RecvTimeoutError::Disconnected) => return writer.flush(),
        }
    }
}
