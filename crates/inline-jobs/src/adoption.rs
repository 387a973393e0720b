//! Jobs change hands: those of daemons that died or stopped are adopted, and old ones removed.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use harrierward_ownership::{OwnerStatus, Step};
use harrierward_tenants::AllowedRegions;
use tokio::time::{Instant, sleep};

use crate::adoption_order::{adopted, adoption_delay, adoption_rank, given_up, last_owner};
use crate::owned_job::LeftWork;
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::view::KnownHead;

/// How often jobs without owner are looked for.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// How long a head's change by this daemon is tried.
pub(crate) const ADOPT_HOLD: Duration = Duration::from_millis(1_500);

/// How often old jobs are looked for.
const REMOVE_EVERY: Duration = Duration::from_secs(20);

/// How much longer than promised a job is kept.
const KEEP_LONGER: Duration = Duration::from_secs(60);

impl InlineJobs {
    pub(crate) async fn run_adoption(self) {
        loop {
            sleep(CHECK_EVERY).await;
            let Some(owners) = self.inner.peers.owners() else {
                continue;
            };
            if self.may_start_runs() {
                self.look_for_orphans(&owners);
            }
        }
    }

    /// Does what is due for jobs whose owners are missing. `owners` are the daemons that may own jobs.
    fn look_for_orphans(&self, owners: &[String]) {
        let open = self.inner.view.open_jobs();
        let mut standings: HashMap<&str, OwnerStatus> = HashMap::new();
        for known in &open {
            if self.owns(&known.head) {
                self.answer_if_challenged(known);
                continue;
            }
            let owner = known.head.owner.as_str();
            let standing = standings.entry(owner);
            let standing = *standing.or_insert_with(|| self.owner_standing(&known.head));
            self.consider(known, standing, owners);
        }
        let open: HashSet<&str> = open
            .iter()
            .map(|known| known.head.job_id.as_str())
            .collect();
        self.takeovers().retain(|job| open.contains(job));
    }

    /// Does what is due for a job of another daemon, or of none.
    fn consider(&self, known: &KnownHead, standing: OwnerStatus, owners: &[String]) {
        let delay = || {
            let adopters = self.adopters_of(known, owners)?;
            let near = self.inner.peers.owners_near(last_owner(&known.head));
            let life = &self.inner.life;
            Some(adoption_delay(&known.head, life, &adopters, &near))
        };
        let step = self.takeovers().step(known, standing, delay);
        match step {
            Step::Wait => {}
            Step::Challenge => self.start_challenge(known.clone(), standing),
            Step::TakeOver => self.start_adoption(known.clone(), standing),
        }
    }

    fn start_adoption(&self, known: KnownHead, standing: OwnerStatus) {
        self.spawn_write(known, move |jobs, known| async move {
            jobs.adopt_job(&known, standing).await;
        });
    }

    /// The daemons that may adopt a job, which is to read its bodies; `None` if this one is not among them. Where no
    /// daemon of an allowed region lives the job waits.
    fn adopters_of<'a>(
        &self,
        known: &KnownHead,
        owners: &'a [String],
    ) -> Option<Cow<'a, [String]>> {
        let regions = self.regions_of(&known.head.route, &known.head.tenant)?;
        let adopters = match &regions {
            AllowedRegions::Any => Cow::Borrowed(owners),
            AllowedRegions::Only(_) => Cow::Owned(self.inner.peers.owners_in(&regions)?),
        };
        adopters.contains(&self.inner.life).then_some(adopters)
    }

    async fn adopt_job(&self, known: &KnownHead, standing: OwnerStatus) {
        let head = adopted(&known.head, &self.inner.life);
        let until = Instant::now() + ADOPT_HOLD;
        let written = self
            .inner
            .store
            .replace_head(known.revision, &head, until)
            .await;
        match written {
            WriteOutcome::Committed { revision } => {
                self.log_ownership(&known.head, &head, "adopted", standing.name());
                // The watch may have been faster and have begun the loading.
                self.learn(KnownHead { head, revision });
            }
            WriteOutcome::Conflict {
                current: Some(current),
            } => {
                self.learn(*current);
            }
            // The next look decides anew.
            _ => {}
        }
    }

    /// Gives one job up, with what is left of its items.
    pub(crate) async fn hand_over(
        &self,
        mut known: KnownHead,
        mut left: LeftWork,
        reason: &str,
        until: Instant,
    ) {
        while known.is_open() && self.owns(&known.head) && Instant::now() < until {
            let mut head = given_up(&known.head);
            if !left.failures.is_empty() {
                head.failures.clone_from(&left.failures);
            }
            // A listing that was under way may have come first.
            left.results
                .retain(|result| !head.listed.contains(&result.item));
            let position = u32::try_from(head.listed.len()).unwrap_or(u32::MAX);
            let listed = left.results.iter().map(|result| result.item);
            head.listed.extend(listed);
            let results = (position, left.results.as_slice());
            let written = self
                .inner
                .store
                .hand_over(known.revision, &head, results, &left.progress, until)
                .await;
            match written {
                WriteOutcome::Committed { revision } => {
                    self.log_ownership(&known.head, &head, "handed over", reason);
                    if !left.results.is_empty() {
                        self.log_listed(&head.job_id, position, left.results.len(), "committed");
                    }
                    self.learn(KnownHead { head, revision });
                    return;
                }
                WriteOutcome::Conflict {
                    current: Some(current),
                } => known = *current,
                _ => return,
            }
        }
    }

    /// Removes jobs whose time is over; each daemon those that are its own by their order.
    pub(crate) async fn run_removal(self) {
        loop {
            sleep(REMOVE_EVERY).await;
            let Some(owners) = self.inner.peers.owners() else {
                continue;
            };
            let keep = self.inner.settings.keep + KEEP_LONGER;
            let keep_ms = u64::try_from(keep.as_millis()).unwrap_or(u64::MAX);
            let before = self.inner.view.store_now_ms().saturating_sub(keep_ms);
            for known in self.inner.view.closed_before(before) {
                if adoption_rank(&known.head.job_id, &self.inner.life, &owners) == 0 {
                    // What is not removed now is found again at the next round.
                    let _ = self.inner.store.remove(&known).await;
                }
            }
        }
    }
}
