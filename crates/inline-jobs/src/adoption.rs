//! Adoption of jobs whose owners crashed or stopped, handover of own jobs, and removal of expired ones.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use harrierward_ownership::{OwnerStatus, Step};
use harrierward_tenants::AllowedRegions;
use tokio::time::{Instant, sleep};

use crate::adoption_order::{adopted, adoption_delay, adoption_rank, last_owner, released};
use crate::owned_job::HandoverState;
use crate::reported_failures::raise_counts;
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::view::KnownHeader;

/// Interval between checks for jobs without a live owner.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a header write is retried.
pub(crate) const HEADER_WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between removals of expired jobs.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(20);

/// Time for which a job is kept beyond its retention.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

impl InlineJobs {
    pub(crate) async fn run_adoption(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some(owners) = self.inner.peers.owners() else {
                continue;
            };
            if self.may_start_runs() {
                self.check_orphans(&owners);
            }
        }
    }

    /// Steps the takeover of each open job that this daemon does not own, and responds to challenges of its own jobs.
    /// `owners` are the daemons that may own jobs.
    fn check_orphans(&self, owners: &[String]) {
        let open = self.inner.view.open_jobs();
        let mut statuses: HashMap<&str, OwnerStatus> = HashMap::new();
        for known in &open {
            if self.owns(&known.header) {
                self.refute_if_challenged(known);
                continue;
            }
            let owner = known.header.owner.as_str();
            let status = statuses.entry(owner);
            let status = *status.or_insert_with(|| self.owner_status(&known.header));
            self.step_takeover(known, status, owners);
        }
        let open: HashSet<&str> = open
            .iter()
            .map(|known| known.header.job_id.as_str())
            .collect();
        self.takeovers().retain(|job| open.contains(job));
    }

    /// Does the takeover step due for a job that this daemon does not own.
    fn step_takeover(&self, known: &KnownHeader, status: OwnerStatus, owners: &[String]) {
        let delay = || {
            let adopters = self.adopters_of(known, owners)?;
            let near = self.inner.peers.owners_near(last_owner(&known.header));
            let instance_id = &self.inner.instance_id;
            Some(adoption_delay(&known.header, instance_id, &adopters, &near))
        };
        let step = self.takeovers().step(known, status, delay);
        match step {
            Step::Wait => {}
            Step::Challenge => self.start_challenge(known.clone(), status),
            Step::TakeOver => self.start_adoption(known.clone()),
        }
    }

    fn start_adoption(&self, known: KnownHeader) {
        self.spawn_write(known, |jobs, known| async move {
            jobs.adopt_job(&known).await;
        });
    }

    /// Returns the daemons that may read a job's bodies and so adopt it; `None` if this one is not among them. A job
    /// whose allowed regions have no live daemon waits.
    fn adopters_of<'a>(
        &self,
        known: &KnownHeader,
        owners: &'a [String],
    ) -> Option<Cow<'a, [String]>> {
        let regions = self.regions_of(&known.header.route, &known.header.tenant)?;
        let adopters = match &regions {
            AllowedRegions::Any => Cow::Borrowed(owners),
            AllowedRegions::Only(_) => Cow::Owned(self.inner.peers.owners_in(&regions)?),
        };
        adopters
            .contains(&self.inner.instance_id)
            .then_some(adopters)
    }

    async fn adopt_job(&self, known: &KnownHeader) {
        let header = adopted(&known.header, &self.inner.instance_id);
        let until = Instant::now() + HEADER_WRITE_TIMEOUT;
        let written = self
            .inner
            .store
            .replace_header(known.revision, &header, until)
            .await;
        match written {
            WriteOutcome::Committed { revision } => {
                // The watch may have delivered this header already and started the load.
                self.note_header(KnownHeader { header, revision });
            }
            WriteOutcome::Conflict {
                current: Some(current),
            } => {
                self.note_header(*current);
            }
            // The next check retries.
            _ => {}
        }
    }

    /// Releases a job and stores its unlisted results and progress for the next owner.
    pub(crate) async fn hand_over(
        &self,
        mut known: KnownHeader,
        mut state: HandoverState,
        reason: &str,
        until: Instant,
    ) {
        while known.is_open() && self.owns(&known.header) && Instant::now() < until {
            let mut header = released(&known.header);
            if !state.failures.is_empty() {
                header.failures.clone_from(&state.failures);
            }
            // A job that was not loaded yet may have failures that only a report holds.
            raise_counts(
                &mut header.failures,
                self.reported_failures().of(&header.job_id),
            );
            // A concurrent listing may have committed first.
            state
                .results
                .retain(|result| !header.listed.contains(&result.item));
            let position = u32::try_from(header.listed.len()).unwrap_or(u32::MAX);
            let listed = state.results.iter().map(|result| result.item);
            header.listed.extend(listed);
            let results = (position, state.results.as_slice());
            let written = self
                .inner
                .store
                .hand_over(known.revision, &header, results, &state.progress, until)
                .await;
            match written {
                WriteOutcome::Committed { revision } => {
                    self.log_ownership(&known.header, &header, "handed over", reason);
                    if !state.results.is_empty() {
                        self.log_listed(&header.job_id, position, state.results.len(), "committed");
                    }
                    self.note_header(KnownHeader { header, revision });
                    return;
                }
                WriteOutcome::Conflict {
                    current: Some(current),
                } => known = *current,
                _ => return,
            }
        }
    }

    /// Removes expired jobs; each daemon removes those for which it is first in the adoption order.
    pub(crate) async fn run_removal(self) {
        loop {
            sleep(REMOVAL_INTERVAL).await;
            let Some(owners) = self.inner.peers.owners() else {
                continue;
            };
            let retention = self.inner.settings.retention + RETENTION_MARGIN;
            let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
            let before = self.inner.view.store_now_ms().saturating_sub(retention_ms);
            for known in self.inner.view.closed_before(before) {
                if adoption_rank(&known.header.job_id, &self.inner.instance_id, &owners) == 0 {
                    // A failed removal is retried in the next round.
                    let _ = self.inner.store.remove(&known).await;
                }
            }
        }
    }
}
