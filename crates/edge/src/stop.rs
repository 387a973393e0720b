//! Planned stop of a daemon: callers are drained and jobs handed over concurrently.
//!
//! The handover depends on the store, which may be unavailable for the whole grace period; draining must not wait
//! for it. Otherwise callers would be admitted until no time is left to answer them.

use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use harrierward_decisions::Record;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::daemon::Daemon;
use crate::server::ServerStage;

/// Time in which the platform stops routing callers to a daemon that is not ready.
const READINESS_PROPAGATION: Duration = Duration::from_millis(2_600);

/// Part of the grace period reserved for the final steps.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(900);

/// Interval at which a stopping daemon checks whether its requests are completed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for idle connections to be closed gracefully.
const IDLE_CLOSE_WAIT: Duration = Duration::from_millis(150);

impl Daemon {
    /// Stops gracefully: reports not ready, answers the requests already read while jobs are handed over, then
    /// closes.
    pub async fn stop(&self) {
        let requested_at = Instant::now();
        let deadline = requested_at + self.settings.grace.saturating_sub(SHUTDOWN_RESERVE);
        let control = &self.service.control;
        self.service.stopping.store(true, Ordering::Relaxed);
        control.set_stage(ServerStage::Draining);
        self.log.record(&Record::Stopping {
            in_progress: control.in_progress(),
        });
        tokio::join!(
            self.hand_over_jobs(requested_at, deadline),
            self.drain_callers(requested_at, deadline)
        );
        sleep(IDLE_CLOSE_WAIT).await;
        self.log.record(&Record::Stopped {
            cut_off: control.in_progress(),
            after_ms: millis_since(requested_at),
        });
        self.log.flush();
    }

    /// Hands jobs over, then leaves the membership, at the latest when callers are refused: remaining jobs are
    /// adopted. A concurrent handover then fails at the store's conditional write.
    async fn hand_over_jobs(&self, requested_at: Instant, deadline: Instant) {
        let mut hand_over = pin!(self.service.jobs.hand_over_all(deadline));
        let in_time = timeout_at(requested_at + READINESS_PROPAGATION, hand_over.as_mut()).await;
        self.members.leave();
        if in_time.is_err() {
            hand_over.await;
        }
        self.log_stop_step("jobs handed over", requested_at);
    }

    /// Accepts callers until the platform routes them elsewhere, then answers the requests already read.
    async fn drain_callers(&self, requested_at: Instant, deadline: Instant) {
        let control = &self.service.control;
        sleep_until(requested_at + READINESS_PROPAGATION).await;
        // If most daemons of a zone stop at once, callers still arrive; from now on they are refused.
        control.set_stage(ServerStage::Closing);
        self.log_stop_step("listener closed", requested_at);
        while control.in_progress() > 0 && Instant::now() < deadline {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        self.log_stop_step("requests answered", requested_at);
    }

    fn log_stop_step(&self, step: &str, requested_at: Instant) {
        let control = &self.service.control;
        self.log.record(&Record::StopStep {
            step,
            after_ms: millis_since(requested_at),
            in_progress: control.in_progress(),
            connections: control.connections(),
        });
    }
}

fn millis_since(moment: Instant) -> u64 {
    u64::try_from(moment.elapsed().as_millis()).unwrap_or(u64::MAX)
}
