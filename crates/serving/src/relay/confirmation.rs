//! Confirmation of an end that only the close of a connection marks: another replica is asked for what follows the last
//! event.
//!
//! A replica that crashes closes its connections as one does that has finished. The response of a replica that resumes
//! the stream distinguishes them. A response that no replica can confirm counts as whole, as most are.

use std::time::Duration;

use tokio::time::timeout;

use super::Relay;

/// Time limit of a confirmation, for which the end of the caller's response is held back. More than a round trip between
/// regions and the prefill of a prompt that is mostly cached.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

impl Relay {
    /// Continues with the response of a replica that is asked for what follows the last event. False if none can be
    /// asked, or none continues the stream.
    pub(super) async fn confirm_end(&mut self) -> bool {
        self.body = None;
        self.in_progress = None;
        self.bind_to_version();
        while self.may_confirm() {
            self.state.sends += 1;
            // Dropped after the timeout, it closes its connection.
            let asked = timeout(CONFIRMATION_TIMEOUT, self.retry()).await;
            let Ok((replica, result)) = asked else {
                return false;
            };
            let was_placed = replica.is_some();
            self.state.tried.extend(replica);
            match result {
                Ok(attempt) if self.continues_stream(&attempt) => {
                    self.go_on_with(attempt);
                    self.is_confirming = true;
                    return true;
                }
                // The replica that closed the connection may confirm the end too, if it is the only one.
                Err(_) if !was_placed && !self.state.tried.is_empty() => {
                    self.state.sends -= 1;
                    self.state.tried.clear();
                }
                Ok(_) | Err(_) => {}
            }
        }
        false
    }

    fn may_confirm(&self) -> bool {
        let is_quarantined = self.forwarder.is_quarantined(&self.state.fingerprint);
        let has_time = !self.state.clock.remaining_hold().is_zero();
        self.may_resume() && has_time && !is_quarantined && self.has_alternative()
    }

    /// Limits the wait for the next bytes while the end is being confirmed and no event has shown that it was none.
    pub(super) fn limit_wait(&self, wait: Duration) -> Duration {
        if self.is_unconfirmed() {
            wait.min(CONFIRMATION_TIMEOUT)
        } else {
            wait
        }
    }

    /// True if the present response was requested to confirm the end, and has brought no event.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.is_confirming && !self.parser.has_new_events()
    }
}
