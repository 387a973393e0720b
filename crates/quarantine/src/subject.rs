//! What may be the cause of crashes.

use std::fmt;

use crate::content::ContentId;
use crate::fingerprint::PartId;

/// A possible cause of crashes. Where the evidence is the same, contents are blamed before parts: they concern fewer
/// requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A request as a whole, with all its repetitions.
    Content(ContentId),
    /// A part of a prompt, in whatever requests.
    Part(PartId),
}

impl From<ContentId> for Subject {
    fn from(content: ContentId) -> Self {
        Self::Content(content)
    }
}

impl From<PartId> for Subject {
    fn from(part: PartId) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(content) => content.fmt(formatter),
            Self::Part(part) => part.fmt(formatter),
        }
    }
}
