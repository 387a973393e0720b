//! How the body of a message is framed (RFC 9112, section 6).

use http::HeaderMap;
use http::header::TRANSFER_ENCODING;

/// True if chunks are the last transfer coding. Otherwise they don't delimit the body.
pub fn ends_in_chunks(headers: &HeaderMap) -> bool {
    let last_line = headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let last_line = last_line.and_then(|value| value.to_str().ok());
    let last_coding = last_line.and_then(|line| line.rsplit(',').next());
    last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
