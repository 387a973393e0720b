//! Resumption of an event stream at another replica after the last event delivered.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use tokio::time::sleep;

use super::{Relay, ResponseAborted};
use crate::attempt::{Attempt, AttemptFailure, AttemptOptions};
use crate::body::{BodyFormat, BodyParser};
use crate::continued::ContinuedStream;
use crate::replica::Replica;
use crate::stream_origin::Asked;

/// Interval before all replicas are tried again.
const CAPACITY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of waits for capacity, 1.5 s in total: callers abandon a stream after a gap of 2 s, and may resume
/// it through another daemon earlier.
const MAX_CAPACITY_WAITS: u32 = 15;

/// Number of replicas tried, including refusals, beyond which a refusal is followed by a wait for capacity.
const MAX_TRIED_REPLICAS: usize = 5;

impl Relay {
    pub(super) fn may_resume(&self) -> bool {
        self.is_resumable() && self.state.sends < self.state.route.attempts
    }

    /// True if other versions serve, and the one that may continue the stream doesn't, so that waiting for capacity
    /// wouldn't help.
    pub(super) fn is_version_gone(&self) -> bool {
        let view = self.forwarder.replicas().view();
        let regions = &self.state.request.regions;
        let serves_any = view.has_usable(&self.state.service, regions, None);
        serves_any && !self.has_alternative()
    }

    /// Binds further runs to the version that began the stream. Before the first event an earlier bond stays.
    pub(super) fn bind_to_version(&mut self) {
        if let Some(version) = self.version() {
            Arc::make_mut(&mut self.state.request).version = Some(version);
        }
    }

    /// Resumes at another replica after the last event delivered, if allowed.
    pub(super) async fn resume(&mut self, cause: String) -> Result<(), ResponseAborted> {
        // The connection is closed before another replica starts.
        self.body = None;
        let abandoned = self.in_progress.take();
        let abandoned = abandoned.map(|in_progress| in_progress.replica().clone());
        if let Some(replica) = abandoned {
            self.forgive_crash(&replica).await;
        }
        if !self.may_resume() || self.state.clock.remaining_hold().is_zero() {
            return Err(self.abort(cause));
        }
        self.log_interruption(&cause);
        self.bind_to_version();
        let mut last_cause = Some(cause);
        let mut capacity_waits = 0;
        while self.may_resume() && !self.state.clock.remaining_hold().is_zero() {
            if self.forwarder.is_quarantined(&self.state.fingerprint) {
                break;
            }
            if self.is_version_gone() {
                last_cause = Some("no replica of its version".to_owned());
                break;
            }
            self.state.sends += 1;
            let (replica, result) = self.retry().await;
            self.state.tried.extend(replica);
            match result {
                Ok(attempt) if self.continues_stream(&attempt) => {
                    self.go_on_with(attempt);
                    return Ok(());
                }
                Ok(attempt) => {
                    let status = attempt.response.status;
                    last_cause = Some(format!("resumed with status {status} and no stream"));
                }
                Err(
                    AttemptFailure::NotRun { cause, .. }
                    | AttemptFailure::Unattributed { cause, .. },
                ) => {
                    self.state.sends -= 1;
                    last_cause = Some(cause);
                    let all_refuse = self.state.tried.len() > MAX_TRIED_REPLICAS;
                    if all_refuse && !self.wait_for_capacity(&mut capacity_waits).await {
                        break;
                    }
                }
                Err(AttemptFailure::MayHaveRun { cause }) => {
                    last_cause = Some(cause);
                    let replica = self.forwarder.last_tried(&self.state);
                    if let Some(replica) = replica {
                        self.forgive_crash(&replica).await;
                    }
                }
                Err(AttemptFailure::NoReplica | AttemptFailure::RetryLater { .. }) => {
                    self.state.sends -= 1;
                    last_cause = Some("no replica".to_owned());
                    if !self.wait_for_capacity(&mut capacity_waits).await {
                        break;
                    }
                }
            }
        }
        Err(self.abort(last_cause.unwrap_or_default()))
    }

    /// Continues with the response of another replica.
    pub(super) fn go_on_with(&mut self, attempt: Attempt) {
        let delimiter = attempt.response.delimiter;
        let events_left = self.parser.events_left();
        self.parser = BodyParser::new(self.format, delimiter, events_left);
        self.log_resumed(&attempt);
        self.body = Some(attempt.response.body);
        self.in_progress = Some(attempt.in_progress);
    }

    /// True if the response is a stream too, so that it can be joined to what was relayed.
    pub(super) fn continues_stream(&self, attempt: &Attempt) -> bool {
        let response = &attempt.response;
        let format = BodyFormat::of(&self.state.route, response.status, &response.headers);
        format == BodyFormat::Events
    }

    /// Doesn't count the last allowed attempt if its replica crashed: a stream that shares replicas with the cause of
    /// the crashes would otherwise be lost at the second crash.
    async fn forgive_crash(&mut self, replica: &Arc<Replica>) {
        let is_last = self.state.sends >= self.state.route.attempts;
        if self.is_resumable() && is_last && self.forwarder.has_crashed(replica).await {
            self.state.forgive();
        }
    }

    /// Waits before all replicas are tried again; returns false if the limit is reached. Temporary overload must not
    /// interrupt a response that has begun.
    async fn wait_for_capacity(&mut self, waits: &mut u32) -> bool {
        if *waits == MAX_CAPACITY_WAITS {
            return false;
        }
        *waits += 1;
        sleep(CAPACITY_RETRY_INTERVAL.min(self.state.clock.remaining_hold())).await;
        self.state.tried.clear();
        true
    }

    pub(super) async fn retry(&mut self) -> (Option<String>, Result<Attempt, AttemptFailure>) {
        let state = &self.state;
        let times = || state.clock.attempt_timeouts(&state.route, state.sends);
        let options = AttemptOptions {
            resume_after: self.delivered,
            fresh_connection: true,
            is_resumable: true,
            number: state.sends,
            failed_before: false,
            refused_elsewhere: 0,
        };
        self.forwarder.attempt(state, times, options).await
    }

    fn log_resumed(&self, attempt: &Attempt) {
        let (Some(resume_after), Some(known)) = (self.delivered, &self.origin) else {
            return;
        };
        let request = &self.state.request;
        self.forwarder.log_continued(&ContinuedStream {
            request: &request.id,
            stream: request.resumes.as_deref().unwrap_or(&request.id),
            step: "resumed",
            resume_after,
            service: &self.state.service,
            known: Some(known),
            replica: Some(attempt.in_progress.replica()),
            asked: Asked::default(),
        });
    }

    fn log_interruption(&self, cause: &str) {
        let replica = self.state.tried.last().map_or("", String::as_str);
        self.forwarder.log().record(&Record::AttemptFailed {
            request: &self.state.request.id,
            content: &self.state.fingerprint.content.to_string(),
            replica,
            cause,
            not_run: false,
            after_ms: self.state.clock.elapsed_ms(),
        });
    }
}
