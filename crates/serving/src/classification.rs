//! Classification of the response to one attempt: what it says of the request, and what of the replica.

use std::time::Duration;

use harrierward_decisions::Record;

use crate::attempt::{AttemptFailure, AttemptOptions};
use crate::exchange::{ExchangeError, Misdirected, ReplicaResponse, ServingRequest};
use crate::forwarder::Forwarder;
use crate::in_progress::InProgress;
use crate::outcome::{AttemptOutcome, Evidence};
use crate::policy::Mechanism;
use crate::refusals::{RefusalEvidence, RefusalScope, ReplicaRefusal};
use crate::replica::{Replica, short_hash};
use crate::replica_record::LeavingNotice;

/// Lowest status that counts as a failure of the replica rather than of the request.
const MIN_FAILURE_STATUS: u16 = 500;

/// Statuses of refusals for want of capacity. Others are about the request.
const NO_CAPACITY_STATUSES: [u16; 2] = [429, 503];

/// Time after a refusal within which the admission of the same request elsewhere is evidence against the replica.
const REFUSAL_MEMORY: Duration = Duration::from_secs(1);

/// One attempt that was made.
pub(crate) struct Exchange<'a> {
    pub request: &'a ServingRequest,
    pub in_progress: &'a InProgress,
    /// Requests at the replica before this one, as counted by the daemon that chose it.
    pub counted_load: u32,
    pub options: AttemptOptions,
}

impl Exchange<'_> {
    fn replica(&self) -> &Replica {
        self.in_progress.replica()
    }

    fn tokens(&self) -> u64 {
        self.request.prompt.total_tokens()
    }
}

impl Forwarder {
    pub(crate) fn classify(
        &self,
        exchange: &Exchange<'_>,
        response: Option<Result<ReplicaResponse, ExchangeError>>,
    ) -> Result<ReplicaResponse, AttemptFailure> {
        let in_progress = exchange.in_progress;
        let replica = exchange.replica();
        let response = match response {
            None => {
                let evidence = in_progress.evidence();
                if evidence.is_none_or(Evidence::waited_long_enough) {
                    self.suspect(replica);
                }
                in_progress.conclude(AttemptOutcome::Unresponsive);
                let cause = "no answer in time".to_owned();
                return Err(AttemptFailure::MayHaveRun { cause });
            }
            Some(Err(error @ ExchangeError::OtherInstance { .. })) => {
                // It may serve other requests, and its new record is read soon.
                self.suspect(replica);
                return Err(AttemptFailure::not_sent(error.to_string()));
            }
            Some(Err(error)) => {
                self.suspect(replica);
                let cause = error.to_string();
                if error.is_not_run() {
                    in_progress.conclude(AttemptOutcome::Disconnected);
                    return Err(AttemptFailure::not_sent(cause));
                }
                in_progress.note_disconnect();
                return Err(AttemptFailure::MayHaveRun { cause });
            }
            Some(Ok(response)) => response,
        };
        let is_own_failure = !response.not_run
            && response.status >= MIN_FAILURE_STATUS
            && !exchange.options.failed_before;
        if is_own_failure {
            // No progress is noted, since that would reset the backoff of the suspicion; a replica that fails fast has
            // the lowest load of all.
            self.suspect(replica);
            in_progress.conclude(AttemptOutcome::Failed);
        } else {
            replica.note_progress();
        }
        if let Some(load) = response.load {
            replica.note_load(load);
        }
        // The request id is checked before the refusal: a late refusal of an earlier request says nothing about this
        // one.
        if response
            .request_id
            .as_deref()
            .is_some_and(|id| id != exchange.request.id)
        {
            in_progress.conclude(AttemptOutcome::Corrupt);
            let cause = "the answer belongs to another request".to_owned();
            return Err(AttemptFailure::MayHaveRun { cause });
        }
        if response.misdirected == Some(Misdirected::OtherReplica) {
            replica.set_draining();
            replica.note_leaving(LeavingNotice {
                state: "draining",
                source: "replica".into(),
                reading: "response",
                proof_age: None,
                known_at: harrierward_clock::now(),
            });
            let cause = "another replica has the address".to_owned();
            return Err(refusal(cause, None, &response));
        }
        if response.not_run || response.misdirected.is_some() {
            let refused = self.note_refused(exchange, &response);
            let cause = format!("refused with status {}", response.status);
            return Err(refusal(cause, Some(refused), &response));
        }
        if response.request_id.is_none() {
            in_progress.conclude(AttemptOutcome::Corrupt);
            let cause = format!("an answer without id, status {}", response.status);
            return Err(AttemptFailure::MayHaveRun { cause });
        }
        self.note_admitted(replica, exchange.tokens());
        Ok(response)
    }

    fn note_admitted(&self, replica: &Replica, tokens: u64) {
        replica.note_admitted(tokens);
        let service = short_hash(&replica.record.service);
        self.refused_sizes()
            .note_admitted(service, replica.hash, tokens);
    }

    /// Records what a refusal proves about the replica and about requests of this size.
    fn note_refused(&self, exchange: &Exchange<'_>, response: &ReplicaResponse) -> ReplicaRefusal {
        let replica = exchange.replica();
        let evidence = RefusalEvidence {
            request: short_hash(&exchange.request.id),
            tokens: exchange.tokens(),
            reported_load: response.load.map(|load| load.running + load.waiting),
            counted_load: exchange.counted_load,
            slots: replica.slots(),
            refused_elsewhere: exchange.options.refused_elsewhere,
        };
        let scope = if NO_CAPACITY_STATUSES.contains(&response.status) {
            self.note_no_capacity(replica, &evidence)
        } else {
            RefusalScope::Request
        };
        let is_evidence = match scope {
            RefusalScope::Replica => true,
            RefusalScope::Size => self.is_admitted_elsewhere(replica, evidence.tokens),
            RefusalScope::Unclear | RefusalScope::Request => false,
        };
        exchange.in_progress.conclude(if is_evidence {
            AttemptOutcome::NotRun
        } else {
            AttemptOutcome::RequestRefused
        });
        self.log().record(&Record::RefusedByReplica {
            request: &exchange.request.id,
            replica: &replica.record.id,
            status: response.status,
            tokens: evidence.tokens,
            load: evidence.counted_load,
            slots: evidence.slots,
            reported_load: evidence.reported_load,
            concluded: scope.name(),
        });
        let lease_evidence = exchange.in_progress.evidence();
        ReplicaRefusal {
            scope,
            status: response.status,
            replica: replica.hash,
            lease: exchange.in_progress.lease(),
            had_capacity: lease_evidence.is_some_and(Evidence::has_capacity),
            at: harrierward_clock::now(),
        }
    }

    /// Records that a request was admitted after these replicas had refused it: they had no room for its size, and are
    /// at fault if they had free slots.
    pub fn note_admitted_after(&self, refusals: &[ReplicaRefusal], tokens: u64) {
        let now = harrierward_clock::now();
        let view = self.replicas().view();
        for refusal in refusals {
            let is_recent = now.saturating_duration_since(refusal.at) < REFUSAL_MEMORY;
            let replica = view.by_hash(refusal.replica).filter(|_| is_recent);
            let Some(replica) = replica else {
                continue;
            };
            replica.note_admitted_elsewhere(tokens);
            if let (Some(lease), true) = (refusal.lease, refusal.had_capacity) {
                let outcome = AttemptOutcome::NotRun;
                self.leases().report_outcome(lease, replica.hash, outcome);
            }
        }
    }

    /// True if a replica of the same service recently admitted a request of this size, so that one which refuses it is
    /// at fault.
    fn is_admitted_elsewhere(&self, replica: &Replica, tokens: u64) -> bool {
        let view = self.replicas().view();
        let listed = view.listed(&replica.record.service).iter();
        let largest = listed.map(|one| one.largest_admitted()).max();
        largest.is_some_and(|largest| largest >= tokens)
    }

    fn note_no_capacity(&self, replica: &Replica, evidence: &RefusalEvidence) -> RefusalScope {
        let states_size = evidence.tokens > 0;
        if states_size && !evidence.proves_full() {
            self.refused_sizes().note_refused(
                short_hash(&replica.record.service),
                replica.hash,
                evidence.tokens,
                replica.is_admitting(),
                harrierward_clock::now(),
            );
        }
        replica.note_refused(evidence)
    }

    fn suspect(&self, replica: &Replica) {
        if self.policy().has(Mechanism::Suspicion) {
            replica.suspect();
        }
    }
}

/// Failure of a refused attempt. A refusal without request id on a reused connection may belong to an earlier request.
fn refusal(
    cause: String,
    refused: Option<ReplicaRefusal>,
    response: &ReplicaResponse,
) -> AttemptFailure {
    if response.request_id.is_some() || response.is_first_on_connection {
        AttemptFailure::NotRun { cause, refused }
    } else {
        AttemptFailure::Unattributed { cause, refused }
    }
}
