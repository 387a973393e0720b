//! Retries of store calls that were refused by the rate limit, for uploads and downloads.

use std::time::Duration;

use harrierward_external::{PlatformError, PlatformErrorKind};
use tokio::time::{Instant, sleep};

/// Maximum time for which one call is retried.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Minimum wait before a retry.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(5);

/// Runs `call` again while the store refuses it by its rate limit, at most for [`MAX_WAIT`].
pub(crate) async fn retry_rate_limited<T, F>(
    mut call: impl FnMut() -> F,
) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let deadline = Instant::now() + MAX_WAIT;
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
        sleep(retry_after.max(MIN_RETRY_WAIT)).await;
    }
}
