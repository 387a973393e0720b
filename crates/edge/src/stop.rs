//! The planned stop of a daemon: callers and jobs leave it side by side, so that neither waits for the other.
//!
//! Handing jobs over needs the store, which may be slow or away for the whole grace. If the listener were closed only
//! after that, callers would be let in until there is no time left to answer them.

use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use harrierward_decisions::Record;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::daemon::Daemon;
use crate::server::ServerStage;

/// Time in which the platform takes a daemon that is not ready out of service.
const TAKEN_OUT_AFTER: Duration = Duration::from_millis(2_600);

/// Part of the grace that is kept for the end itself.
const END_RESERVE: Duration = Duration::from_millis(900);

/// How often a stopping daemon looks whether its requests are done.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Time for idle connections to be closed in order.
const CLOSE_TIME: Duration = Duration::from_millis(150);

impl Daemon {
    /// Stops in order: not ready at once, then what was read is answered while jobs are handed over, then the end.
    pub async fn stop(&self) {
        let asked_at = Instant::now();
        let last = asked_at + self.settings.grace.saturating_sub(END_RESERVE);
        let control = &self.service.control;
        self.service.stopping.store(true, Ordering::Relaxed);
        control.set_stage(ServerStage::Draining);
        self.log.record(&Record::Stopping {
            in_progress: control.in_progress(),
        });
        tokio::join!(
            self.hand_jobs_over(asked_at, last),
            self.answer_callers(asked_at, last)
        );
        sleep(CLOSE_TIME).await;
        self.log.record(&Record::Stopped {
            cut_off: control.in_progress(),
            after_ms: milliseconds_since(asked_at),
        });
        self.log.flush();
    }

    /// Gives jobs to the other daemons. Those that are not handed over when callers are no longer let in are adopted: the
    /// others are told then at the latest. A hand-over that is still under way meets the adoption at the store's condition.
    async fn hand_jobs_over(&self, asked_at: Instant, last: Instant) {
        let mut handing = pin!(self.service.jobs.hand_over_all(last));
        let handed = timeout_at(asked_at + TAKEN_OUT_AFTER, handing.as_mut()).await;
        self.members.leave();
        if handed.is_err() {
            handing.await;
        }
        self.log_stop_step("jobs handed over", asked_at);
    }

    /// Lets callers in until the platform has led them away, then answers what was read.
    async fn answer_callers(&self, asked_at: Instant, last: Instant) {
        let control = &self.service.control;
        sleep_until(asked_at + TAKEN_OUT_AFTER).await;
        // If most daemons of a zone stop at once, callers still come; from now on they are not let in.
        control.set_stage(ServerStage::Closing);
        self.log_stop_step("listener closed", asked_at);
        while control.in_progress() > 0 && Instant::now() < last {
            sleep(STOP_CHECK).await;
        }
        self.log_stop_step("requests answered", asked_at);
    }

    fn log_stop_step(&self, step: &str, asked_at: Instant) {
        let control = &self.service.control;
        self.log.record(&Record::StopStep {
            step,
            after_ms: milliseconds_since(asked_at),
            in_progress: control.in_progress(),
            connections: control.connections(),
        });
    }
}

fn milliseconds_since(moment: Instant) -> u64 {
    u64::try_from(moment.elapsed().as_millis()).unwrap_or(u64::MAX)
}
