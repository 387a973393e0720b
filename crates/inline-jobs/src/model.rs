//! Jobs as callers submit and read them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use harrierward_memory::Permit;
use harrierward_serving::{Prompt, PromptPart, RefusalCause, ServingRequest};
use harrierward_tenants::{AllowedRegions, ApiKey};
use harrierward_wire::{HeaderRow, ItemBodyRow, JobHeadRow, PromptPartRow};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use xxhash_rust::xxh3::xxh3_64;

/// One item of a submitted job.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmittedItem {
    /// Unique within its job.
    pub id: String,
    /// Path and query of the request to the replica.
    pub target: String,
    /// Headers of the request to the replica.
    pub headers: HeaderMap,
    /// Body of the request to the replica.
    pub body: Bytes,
    /// Prompt parts and token counts, for placement.
    pub prompt: Prompt,
    /// Tokens of prompt and output charged to the quota.
    pub tokens: u64,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmittedJob {
    /// Chosen by the caller; unique for its tenant.
    pub id: String,
    /// Host of the submission, selects the route.
    pub host: String,
    /// Path of the submission, selects the route.
    pub path: String,
    /// At least one item.
    pub items: Vec<SubmittedItem>,
    /// How long the caller waits for a response; `None` if it does not say so.
    pub timeout: Option<Duration>,
    /// The caller's key, if it sent one.
    pub key: Option<ApiKey>,
}

/// The caller of a request about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCaller {
    /// Any caller: the configuration has no tenants.
    Anyone,
    /// A tenant, which sees its own jobs and those without a tenant.
    Tenant(Arc<str>),
    /// A caller without a valid key, which sees only jobs without a tenant.
    Refused(RefusalCause),
}

/// Hexadecimal digits in the scope of a stored id.
const SCOPE_DIGITS: usize = 16;

/// Scope of a caller without a tenant; no tenant's name is empty.
const NO_TENANT: &str = "";

fn with_scope(id: &str, tenant: &str) -> String {
    let scope = xxh3_64(tenant.as_bytes());
    format!("{id}.{scope:0SCOPE_DIGITS$x}")
}

/// True if an id ends like one with a scope.
fn looks_scoped(id: &str) -> bool {
    let Some((_, scope)) = id.rsplit_once('.') else {
        return false;
    };
    scope.len() == SCOPE_DIGITS && scope.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Returns the id under which a job is stored. Ids are scoped by tenant, so that tenants can neither collide in them
/// nor detect each other's jobs. Without a tenant an id is stored as it is, unless it could be that of a tenant's job.
pub fn scoped_id(tenant: Option<&str>, id: &str) -> String {
    match tenant {
        Some(tenant) => with_scope(id, tenant),
        None if looks_scoped(id) => with_scope(id, NO_TENANT),
        None => id.to_owned(),
    }
}

/// Outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The job exceeds the quota of queued tokens; none of it runs.
    QuotaExceeded {
        /// Minimum time until a retry.
        retry_after: Duration,
    },
    /// The job is not stored; none of it runs.
    NotStored {
        /// Minimum time until a retry.
        retry_after: Duration,
    },
    /// The job may have been stored.
    Indeterminate,
    /// The job is invalid, for this reason.
    Malformed(&'static str),
    /// No route matches the host and path.
    NoRoute,
    /// The daemon has not received a configuration yet.
    NoConfiguration,
    /// The caller may not submit the job, for this cause.
    Denied(RefusalCause),
}

/// A listed result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobResult {
    /// Item id as submitted.
    pub item: String,
    /// True if the item has used up its attempts or cannot be run.
    pub failed: bool,
    /// Data of all events in order, separated by line feeds; empty if the item failed.
    pub text: String,
}

/// A page of results.
#[derive(Debug)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: u32,
    /// Results in listed order; empty if none is listed yet.
    pub results: Vec<JobResult>,
    /// Memory for the texts, and as much for a response that is built from them; `None` if there are none.
    pub memory: Option<Permit>,
}

/// Outcome of a read of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup<T> {
    /// What was read.
    Found(T),
    /// The job or item does not exist, or is not visible to the caller.
    Missing,
    /// The store cannot be read now.
    Unavailable,
}

/// Outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled, by this call or an earlier one.
    Cancelled,
    /// The job does not exist, or is not visible to the caller.
    Missing,
    /// The job is not cancelled.
    NotCancelled,
    /// The job may have been cancelled.
    Indeterminate,
}

/// Encodes an item as a row.
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

/// Decodes the request that runs an item of the job with this header.
pub fn item_request(row: ItemBodyRow, header: &JobHeadRow) -> ServingRequest {
    let mut headers = HeaderMap::new();
    for header in row.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            // A row of another writer may have more than the map holds.
            let _ = headers.try_append(name, value);
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
    let prompt = Prompt {
        parts,
        tokens: row.prompt_tokens,
        output_tokens: row.output_tokens,
    };
    ServingRequest {
        regions: AllowedRegions::default(),
        prompt: with_stated_size(prompt, &row.id, header),
        id: row.id,
        host: header.host.clone(),
        method: Method::POST,
        target: row.target,
        headers,
        body: Bytes::from(row.body),
        timeout: None,
        resume_after: None,
        resumes: None,
        version: None,
        key: None,
        tenant: (!header.tenant.is_empty()).then(|| Arc::from(header.tenant.as_str())),
    }
}

/// Completes a prompt without lengths by the tokens that the job states for its item, so that its size is known.
fn with_stated_size(mut prompt: Prompt, item: &str, header: &JobHeadRow) -> Prompt {
    if prompt.total_tokens() == 0 {
        let stated = header.items.iter().find(|stated| stated.id == item);
        let tokens = stated.map_or(0, |stated| stated.tokens);
        prompt.tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    }
    prompt
}
