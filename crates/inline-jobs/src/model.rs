//! Jobs as callers submit and read them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use harrierward_serving::{Prompt, PromptPart, RefusalCause, ServingRequest};
use harrierward_tenants::{AllowedRegions, ApiKey};
use harrierward_wire::{HeaderRow, ItemBodyRow, JobHeadRow, PromptPartRow};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use xxhash_rust::xxh3::xxh3_64;

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
    /// The caller's key, if it sent one.
    pub key: Option<ApiKey>,
}

/// Who asks about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCaller {
    /// Anybody: the configuration knows no tenants.
    Anyone,
    /// A tenant: it knows its own jobs, and those of nobody.
    Tenant(Arc<str>),
    /// A caller whose key is not good: it knows the jobs of nobody.
    Refused(RefusalCause),
}

/// The id under which a job is kept. Tenants choose ids without knowing of each other, and must not learn of each
/// other's jobs by them, so each tenant's ids are its own.
pub fn kept_id(tenant: Option<&str>, id: &str) -> String {
    tenant.map_or_else(
        || id.to_owned(),
        |tenant| format!("{id}.{:016x}", xxh3_64(tenant.as_bytes())),
    )
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
    /// The caller must not submit it.
    Denied(RefusalCause),
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

/// The request that runs an item of the job with this head.
pub fn item_request(row: ItemBodyRow, head: &JobHeadRow) -> ServingRequest {
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
        regions: AllowedRegions::default(),
        id: row.id,
        host: head.host.clone(),
        method: Method::POST,
        target: row.target,
        headers,
        body: Bytes::from(row.body),
        timeout: None,
        resume_after: None,
        prompt: Prompt {
            parts,
            tokens: row.prompt_tokens,
            output_tokens: row.output_tokens,
        },
        key: None,
        tenant: (!head.tenant.is_empty()).then(|| Arc::from(head.tenant.as_str())),
    }
}
