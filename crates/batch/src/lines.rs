//! Reads of objects that consist of lines. Their number is stored outside the object and proves that a read is whole.

use bytes::Bytes;
use harrierward_external::{ObjectStore, PlatformError, PlatformErrorKind, RequestClass};

const STEP: &str = "batch.read_lines";

/// Reads an object of `lines` lines, each of which ends with a line feed.
///
/// # Errors
/// The store failed, or what it sent does not have exactly these lines: a response may end early without an error.
pub(crate) async fn read_lines(
    objects: &dyn ObjectStore,
    name: &str,
    lines: u32,
) -> Result<Bytes, PlatformError> {
    let body = objects.get(RequestClass::Commit, name).await?;
    let received = count_lines(&body);
    if received == Some(lines) {
        return Ok(body);
    }
    let detail = match received {
        Some(received) => format!("{name} has {received} of {lines} lines"),
        None => format!("{name} ends within a line"),
    };
    log::warn!("{STEP}: {detail}");
    let kind = PlatformErrorKind::Malformed;
    Err(PlatformError::new(STEP, "store", kind, detail))
}

/// Returns the number of lines; `None` if the last one does not end.
fn count_lines(body: &[u8]) -> Option<u32> {
    let ends_within_line = body.last().is_some_and(|last| *last != b'\n');
    if ends_within_line {
        return None;
    }
    let line_feeds = body.iter().filter(|byte| **byte == b'\n').count();
    u32::try_from(line_feeds).ok()
}
