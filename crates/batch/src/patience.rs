//! Waits for the store's rate where nobody is kept from anything by the wait: uploads and downloads go as fast as the
//! rate allows instead of failing.

use std::time::Duration;

use harrierward_external::{PlatformError, PlatformErrorKind};
use tokio::time::{Instant, sleep};

/// Longest wait for the rate in one call.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Shortest pause before the next try.
const SHORTEST_PAUSE: Duration = Duration::from_millis(5);

/// Runs `call` again while it is refused for its rate.
pub(crate) async fn at_the_rate<T, F>(mut call: impl FnMut() -> F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let deadline = Instant::now() + LONGEST_WAIT;
    loop {
        let error = match call().await {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        let PlatformErrorKind::RateLimited { retry_after } = error.kind else {
            return Err(error);
        };
        if Instant::now() + retry_after > deadline {
            return Err(error);
        }
        sleep(retry_after.max(SHORTEST_PAUSE)).await;
    }
}
