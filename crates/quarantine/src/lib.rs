//! Requests under which replicas end: which content was there at each end, and what is held back for it.
//!
//! Why by content: such a request comes again under another id, at another daemon, and as an item of a batch job it has no
//! caller that gives up. What stays the same is its path, its caller and its body.

mod content;

pub use content::ContentId;
