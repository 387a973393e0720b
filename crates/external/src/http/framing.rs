//! How the body of a message is framed (RFC 9112, section 6).

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};

/// True if chunks are the last transfer coding. Otherwise they don't delimit the body.
pub fn ends_in_chunks(headers: &HeaderMap) -> bool {
    let last_line = headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let last_line = last_line.and_then(|value| value.to_str().ok());
    let last_coding = last_line.and_then(|line| line.rsplit(',').next());
    last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// True if the header section of a response states a length, chunks, or that there is no body. Otherwise the close of
/// the connection delimits the body, which doesn't prove it whole. Not for responses to `HEAD`.
pub(super) fn is_framed(status: StatusCode, headers: &HeaderMap) -> bool {
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return true;
    }
    if headers.contains_key(TRANSFER_ENCODING) {
        return ends_in_chunks(headers);
    }
    headers.contains_key(CONTENT_LENGTH)
}
