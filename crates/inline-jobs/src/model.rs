//! Jobs as callers submit and read them.

use std::time::Duration;

use bytes::Bytes;
use harrierward_serving::{Prompt, PromptPart, ServingRequest};
use harrierward_wire::{HeaderRow, ItemBodyRow, PromptPartRow};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// One item of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmittedItem {
    /// Item id.
    pub id: String,
    /// Path and query at the replica.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The prompt.
    pub prompt: Prompt,
    /// Tokens of prompt and answer that the item may take.
    pub tokens: u64,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmittedJob {
    /// Job id.
    pub id: String,
    /// Host named by the caller.
    pub host: String,
    /// Path named by the caller.
    pub path: String,
    /// The items.
    pub items: Vec<SubmittedItem>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
}

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Kept from now on.
    Accepted,
    /// The route's waiting tokens are used up; none of it runs.
    DoesNotFit {
        /// When to come back.
        retry_after: Duration,
    },
    /// Not kept; none of it runs.
    NotKept {
        /// When to come back.
        retry_after: Duration,
    },
    /// May have been kept.
    InDoubt,
    /// Cannot be read as a job.
    Malformed(&'static str),
    /// No route takes it.
    NoRoute,
    /// No configuration is known yet.
    NoConfiguration,
}

/// A listed result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobResult {
    /// Item id.
    pub item: String,
    /// The item failed for good.
    pub failed: bool,
    /// Data of all events in order, parted by line feeds.
    pub text: String,
}

/// Results from a position on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Items of the job.
    pub total: usize,
    /// Position after the last result.
    pub next: u32,
    /// The results.
    pub results: Vec<JobResult>,
}

/// What became of a question about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup<T> {
    /// The answer.
    Found(T),
    /// There is no such job or item.
    Missing,
    /// The store cannot be asked now.
    Unsure,
}

/// What became of ending a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOutcome {
    /// It has ended.
    Ended,
    /// There is no such job.
    Missing,
    /// Not done.
    NotDone,
    /// May have been done.
    InDoubt,
}

/// The row of an item.
pub fn item_row(item: &SubmittedItem) -> ItemBodyRow {
    let headers = item
        .headers
        .iter()
        .map(|(name, value)| HeaderRow {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        })
        .collect();
    let prompt = item
        .prompt
        .parts
        .iter()
        .map(|part| PromptPartRow {
            id: part.id,
            tokens: part.tokens,
        })
        .collect();
    ItemBodyRow {
        id: item.id.clone(),
        target: item.target.clone(),
        headers,
        body: item.body.to_vec(),
        prompt,
        prompt_tokens: item.prompt.tokens,
        output_tokens: item.prompt.output_tokens,
    }
}

/// The request that runs an item.
pub fn item_request(row: ItemBodyRow, host: &str) -> ServingRequest {
    let mut headers = HeaderMap::new();
    for header in row.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let parts = row
        .prompt
        .iter()
        .map(|part| PromptPart {
            id: part.id,
            tokens: part.tokens,
        })
        .collect();
    ServingRequest {
        id: row.id,
        host: host.to_owned(),
        method: Method::POST,
        target: row.target,
        headers,
        body: Bytes::from(row.body),
        patience: None,
        resume_after: None,
        prompt: Prompt {
            parts,
            tokens: row.prompt_tokens,
            output_tokens: row.output_tokens,
        },
    }
}
