//! Inline batch jobs.
