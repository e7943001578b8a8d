//! Which process of a dispatcher owns a client's request id, for HTTP requests and for those of sessions.
//!
//! A process claims the id of a request before it begins the request, by a record in a file that all processes of the
//! dispatcher append to. The first claim in the file makes its process the owner. The owner keeps the id until it
//! records that the request may be begun again; if it dies before, the id of a request that must not run twice is never
//! begun again. No process asks another one, so one that is stopped or killed holds up nobody.
//!
//! The record is bounded: it holds the ids of at least the last 2 MiB of records, oldest out first. A process that runs
//! alone and was not announced to others has no record, see [`RequestClaims::disabled`].
//!
//! * `record` has the records and their text;
//! * `claim_table` decides who owns a request;
//! * `claim_file` appends to the file and reads it.

mod claim_file;
mod claim_table;
mod record;

pub use record::{ClaimEnd, RequestKey};

use super::process_announcement::{ProcessAnnouncement, ProcessState};
use super::shared_folder::SharedFolder;
use super::start_time_claim;
use crate::routing::api::Idempotency;
use claim_file::ClaimFile;
use claim_table::{ClaimState, ClaimTable, OwnedRequest};
use record::{ClaimId, Record};
use slog::{warn, Logger};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Maximum number of records that wait for a file that can't be written; the oldest are dropped first.
const MAX_UNWRITTEN_RECORDS: usize = 8_192;
/// Maximum number of claims that a process carries on in the next generation of the file. Together with the records
/// that wait they take less than half of it.
const MAX_CARRIED_CLAIMS: usize = 4_096;
/// How often a record is appended that is not found in the file.
const MAX_APPENDS_WITHOUT_EFFECT: u32 = 3;
/// Stands for no process where a start time is expected.
const NO_PROCESS: u64 = 0;

/// Whether a request may be begun again although an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Its class allows a repeat.
    MayRepeat,
    /// It must not run twice.
    RunsOnce,
}

impl Repeatability {
    /// Returns whether requests of a class with this idempotency may be begun again.
    pub fn of(idempotency: Idempotency) -> Repeatability {
        match idempotency {
            Idempotency::Idempotent => Repeatability::MayRepeat,
            _ => Repeatability::RunsOnce,
        }
    }
}

/// The answer to a claim.
pub enum ClaimResult {
    /// This process owns the request and may begin it.
    Owned(RequestClaim),
    /// The request must not be begun.
    Held(HeldRequest),
    /// It is not known whether another process has the request. It may be claimed again later.
    Unknown,
}

/// Why a request must not be begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldRequest {
    /// Another process runs it.
    InFlight,
    /// It was served.
    Served,
    /// It was not served, may have run and must not run again.
    MayHaveRun,
}

/// The claims of the dispatcher's processes. Clones share them.
#[derive(Clone)]
pub struct RequestClaims(Option<Arc<Mutex<ClaimLog>>>);

/// The ownership of a request by this process. Dropping it records a request that may have run.
pub struct RequestClaim {
    claims: RequestClaims,
    key: RequestKey,
    repeatability: Repeatability,
    end: ClaimEnd,
}

/// The state behind [`RequestClaims`].
struct ClaimLog {
    folder: SharedFolder,
    /// The start time of this process, in Unix microseconds.
    own_process: u64,
    /// `None` until the file could be opened.
    file: Option<ClaimFile>,
    table: ClaimTable,
    /// Records that could not be written yet, oldest first.
    unwritten: VecDeque<Record>,
    last_claim_number: u64,
    /// The requests that this process has now.
    own_claims: HashMap<RequestKey, OwnClaim>,
    /// The other live processes, as of the coordinator's last scan.
    peers: Vec<ProcessAnnouncement>,
    has_warned: bool,
    log: Logger,
}

impl RequestClaims {
    /// Returns the claims of a process that has no others beside it: it owns every request.
    pub fn disabled() -> RequestClaims {
        RequestClaims(None)
    }

    /// Opens the record of the dispatcher's claims for the process with this start time, in Unix microseconds. A file
    /// that can't be opened is tried again at each claim.
    pub(super) fn open(folder: SharedFolder, own_process: u64, log: Logger) -> RequestClaims {
        let mut claim_log = ClaimLog {
            folder,
            own_process,
            file: None,
            table: ClaimTable::default(),
            unwritten: VecDeque::from([Record::ProcessStarted { owner: own_process }]),
            last_claim_number: 0,
            own_claims: HashMap::new(),
            peers: Vec::new(),
            has_warned: false,
            log,
        };
        claim_log.synchronize();
        RequestClaims(Some(Arc::new(Mutex::new(claim_log))))
    }

    fn claim_log(&self) -> Option<MutexGuard<'_, ClaimLog>> {
        let claim_log = self.0.as_ref()?;
        Some(claim_log.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Claims a request for this process, before it is begun. Further claims by this process while it has the request
    /// share the ownership, which ends with the last of them.
    pub fn claim(&self, key: RequestKey, repeatability: Repeatability) -> ClaimResult {
        let claimed = match self.claim_log() {
            Some(mut claim_log) => claim_log.claim(key, repeatability),
            None => Ok(()),
        };
        match claimed {
            Ok(()) => ClaimResult::Owned(self.owned(key, repeatability)),
            Err(Unclaimed::Held(request)) => ClaimResult::Held(request),
            Err(Unclaimed::Unknown) => ClaimResult::Unknown,
        }
    }

    /// Claims a request whose stream another process has handed over to this one. It counts as one that must not run
    /// twice, as its class is not known.
    pub fn take_over(&self, key: RequestKey) -> RequestClaim {
        if let Some(mut claim_log) = self.claim_log() {
            claim_log.take_over(key);
        }
        self.owned(key, Repeatability::RunsOnce)
    }

    fn owned(&self, key: RequestKey, repeatability: Repeatability) -> RequestClaim {
        RequestClaim {
            claims: self.clone(),
            key,
            repeatability,
            end: ClaimEnd::MayHaveRun,
        }
    }

    /// Sets the other live processes. Writes what could not be written before.
    pub(super) fn set_peers(&self, peers: &[ProcessAnnouncement]) {
        if let Some(mut claim_log) = self.claim_log() {
            claim_log.peers = peers.to_vec();
            claim_log.synchronize();
        }
    }
}

impl RequestClaim {
    /// Records how the request has ended. A request that may repeat is released, however it has ended.
    pub fn end(mut self, end: ClaimEnd) {
        self.end = end;
    }

    /// Waits in a task of its own for the core's report whether the request may have run, and records its end. Without
    /// a report the request may have run.
    pub fn end_when_reported(self, may_have_run: oneshot::Receiver<bool>) {
        if self.claims.0.is_none() {
            return;
        }
        tokio::spawn(async move {
            match may_have_run.await {
                Ok(false) => self.end(ClaimEnd::Released),
                Ok(true) | Err(_) => self.end(ClaimEnd::MayHaveRun),
            }
        });
    }
}

impl Drop for RequestClaim {
    fn drop(&mut self) {
        let end = match self.repeatability {
            Repeatability::MayRepeat => ClaimEnd::Released,
            Repeatability::RunsOnce => self.end,
        };
        if let Some(mut claim_log) = self.claims.claim_log() {
            claim_log.end(self.key, end);
        }
    }
}

/// Why a request was not claimed.
enum Unclaimed {
    Held(HeldRequest),
    Unknown,
}

/// A request that this process owns.
struct OwnClaim {
    id: ClaimId,
    /// The number of its [`RequestClaim`]s.
    holders: usize,
    /// The end of those that have ended: the one that permits the least.
    end: ClaimEnd,
}

impl ClaimLog {
    fn claim(&mut self, key: RequestKey, repeatability: Repeatability) -> Result<(), Unclaimed> {
        let is_synchronized = self.synchronize();
        if let Some(own_claim) = self.own_claims.get_mut(&key) {
            own_claim.holders += 1;
            return Ok(());
        }
        let mut replaced_owner = NO_PROCESS;
        if let Some(request) = self.table.get(key) {
            self.check_replaceable(request, repeatability)?;
            replaced_owner = request.claim.owner;
        }
        let must_be_recorded = repeatability == Repeatability::RunsOnce && !self.peers.is_empty();
        if must_be_recorded && !(is_synchronized && self.knows_all_claims()) {
            return Err(Unclaimed::Unknown);
        }
        let is_recorded = self.write_claim(key, replaced_owner);
        if must_be_recorded && !is_recorded {
            // The claim is written later; nothing was begun under it.
            self.end(key, ClaimEnd::Released);
            return Err(Unclaimed::Unknown);
        }
        match self.table.get(key) {
            Some(request) if request.claim.owner != self.own_process => {
                // Another process was faster, so that this claim is void.
                self.own_claims.remove(&key);
                Err(Unclaimed::Held(held_request(request.state)))
            }
            _ => Ok(()),
        }
    }

    /// Checks whether a recorded request may be claimed all the same: its class allows a repeat, and its owner has died
    /// and so does not run it any more.
    fn check_replaceable(
        &self,
        request: OwnedRequest,
        repeatability: Repeatability,
    ) -> Result<(), Unclaimed> {
        if request.state != ClaimState::InFlight || self.is_alive(request.claim.owner) {
            return Err(Unclaimed::Held(held_request(request.state)));
        }
        match repeatability {
            Repeatability::MayRepeat => Ok(()),
            Repeatability::RunsOnce => Err(Unclaimed::Held(HeldRequest::MayHaveRun)),
        }
    }

    /// Returns whether a process is alive. A process that the coordinator has not seen yet is looked for.
    fn is_alive(&self, process: u64) -> bool {
        self.peers.iter().any(|peer| peer.started_at == process)
            || start_time_claim::is_alive(&self.folder, process).unwrap_or(true)
    }

    /// Returns whether the table has all claims of the other processes. It lacks those of a process of a version without
    /// this record, which may have begun requests unless it is still starting.
    fn knows_all_claims(&self) -> bool {
        self.peers.iter().all(|peer| {
            peer.state == ProcessState::Starting || self.table.records_claims(peer.started_at)
        })
    }

    fn take_over(&mut self, key: RequestKey) {
        self.synchronize();
        if let Some(own_claim) = self.own_claims.get_mut(&key) {
            own_claim.holders += 1;
            return;
        }
        let owner = self.table.get(key).map(|request| request.claim.owner);
        self.write_claim(key, owner.unwrap_or(NO_PROCESS));
    }

    /// Writes a claim of this process with one holder. Returns false if the record has to wait.
    fn write_claim(&mut self, key: RequestKey, replaced_owner: u64) -> bool {
        self.last_claim_number += 1;
        let claim = ClaimId {
            owner: self.own_process,
            number: self.last_claim_number,
        };
        let own_claim = OwnClaim {
            id: claim,
            holders: 1,
            end: ClaimEnd::Released,
        };
        self.own_claims.insert(key, own_claim);
        self.write(Record::Claimed {
            key,
            claim,
            replaced_owner,
        })
    }

    /// Ends one of the holders of a claim, and the claim with the last one.
    fn end(&mut self, key: RequestKey, end: ClaimEnd) {
        let Some(own_claim) = self.own_claims.get_mut(&key) else {
            return;
        };
        own_claim.end = own_claim.end.max(end);
        own_claim.holders -= 1;
        if own_claim.holders > 0 {
            return;
        }
        let ended = Record::Ended {
            key,
            claim: own_claim.id,
            end: own_claim.end,
        };
        self.own_claims.remove(&key);
        self.write(ended);
    }

    /// Writes a record after those that wait. Returns false if it has to wait, too.
    fn write(&mut self, record: Record) -> bool {
        if self.unwritten.len() >= MAX_UNWRITTEN_RECORDS {
            self.unwritten.pop_front();
        }
        self.unwritten.push_back(record);
        self.synchronize()
    }

    /// Writes what waits, and reads what other processes have written. Returns false after an error; it is logged once
    /// until the next success.
    fn synchronize(&mut self) -> bool {
        let result = self.try_synchronize();
        if let Err(error) = &result {
            if !self.has_warned {
                warn!(self.log, "claims file operation failed"; "error" => %error);
            }
        }
        self.has_warned = result.is_err();
        result.is_ok()
    }

    fn try_synchronize(&mut self) -> io::Result<()> {
        let mut file = match self.file.take() {
            Some(file) => file,
            None => ClaimFile::open(&self.folder)?,
        };
        let result = self.exchange_records(&mut file);
        self.file = Some(file);
        result
    }

    /// Reads the file to its end, and appends what waits until it was read back.
    fn exchange_records(&mut self, file: &mut ClaimFile) -> io::Result<()> {
        let mut appended_without_effect = 0;
        loop {
            let table = &mut self.table;
            let unwritten = &mut self.unwritten;
            let is_full = file.read(|record| {
                if unwritten.front() == Some(&record) {
                    unwritten.pop_front();
                    appended_without_effect = 0;
                }
                table.apply(record);
            })?;
            if is_full {
                file.open_next()?;
                self.table.start_generation();
                self.carry_on();
                continue;
            }
            let Some(record) = self.unwritten.front() else {
                return Ok(());
            };
            // Somebody else has cut the file short, so that what is appended is not read.
            if appended_without_effect >= MAX_APPENDS_WITHOUT_EFFECT {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            file.append(*record)?;
            appended_without_effect += 1;
        }
    }

    /// Records in the next generation that this process has a record, and which requests it has: the table forgets older
    /// generations.
    fn carry_on(&mut self) {
        let mut records = VecDeque::from([Record::ProcessStarted {
            owner: self.own_process,
        }]);
        for (key, own_claim) in self.own_claims.iter().take(MAX_CARRIED_CLAIMS) {
            records.push_back(Record::Claimed {
                key: *key,
                claim: own_claim.id,
                replaced_owner: NO_PROCESS,
            });
        }
        records.append(&mut self.unwritten);
        self.unwritten = records;
    }
}

fn held_request(state: ClaimState) -> HeldRequest {
    match state {
        ClaimState::InFlight => HeldRequest::InFlight,
        ClaimState::Served => HeldRequest::Served,
        ClaimState::MayHaveRun => HeldRequest::MayHaveRun,
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/upgrade/request_claims.rs"]
mod tests;
