//! `explain ID`: the history of a request, job, item, replica or zone from the decision logs of many machines.
//!
//! Lines may carry a prefix, such as a machine's name, which is printed too. Lines without a record are skipped.

use std::collections::BTreeSet;
use std::io::Read;

use eyre::WrapErr;
use getopts::Matches;
use serde_json::{Map, Value};

use crate::command_line::{Failure, Outcome};

/// Record fields that identify the subject.
const SUBJECT_FIELDS: [&str; 5] = ["request", "job", "item", "replica", "zone"];

/// Record fields that are not printed as `name=value`.
const OMITTED_FIELDS: [&str; 3] = ["at_ms", "event", "type"];

struct Entry {
    at_ms: u64,
    origin: String,
    record: Map<String, Value>,
}

/// Prints the history of the given id.
pub fn run(matches: &Matches) -> Outcome {
    let Some((id, files)) = matches.free.split_first() else {
        return Err(Failure::Usage("an id is needed".to_owned()));
    };
    let text = read_all(files)?;
    let history = history(&text, id);
    if history.is_empty() {
        return Err(eyre::eyre!("no record is about {id}").into());
    }
    for line in history {
        println!("{line}");
    }
    Ok(())
}

fn read_all(files: &[String]) -> eyre::Result<String> {
    let mut text = String::new();
    if files.is_empty() {
        std::io::stdin()
            .read_to_string(&mut text)
            .wrap_err("standard input")?;
    }
    for file in files {
        let content = std::fs::read_to_string(file).wrap_err_with(|| file.clone())?;
        text.push_str(&content);
        text.push('\n');
    }
    Ok(text)
}

fn parse(line: &str) -> Option<Entry> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(line[start..].trim()).ok()?;
    let record = value.as_object()?.clone();
    Some(Entry {
        at_ms: record.get("at_ms")?.as_u64()?,
        origin: line[..start].trim().to_owned(),
        record,
    })
}

fn is_subject(entry: &Entry, id: &str) -> bool {
    SUBJECT_FIELDS
        .iter()
        .any(|field| is_about(entry, field, id))
}

/// True if the field's value is the id. The stored id of a job is the caller's id, a dot and a hash of its tenant.
fn is_about(entry: &Entry, field: &str, id: &str) -> bool {
    let value = entry.record.get(field).and_then(Value::as_str);
    let rest = value.and_then(|value| value.strip_prefix(id));
    rest.is_some_and(|rest| rest.is_empty() || (field == "job" && rest.starts_with('.')))
}

/// Returns the lines about `id` in order of time; those of a job include its items' lines.
pub fn history(text: &str, id: &str) -> Vec<String> {
    let entries: Vec<Entry> = text.lines().filter_map(parse).collect();
    let items: BTreeSet<String> = entries
        .iter()
        .filter(|entry| is_about(entry, "job", id))
        .filter_map(|entry| entry.record.get("item")?.as_str())
        .map(str::to_owned)
        .collect();
    let mut about: Vec<&Entry> = entries
        .iter()
        .filter(|entry| is_subject(entry, id) || items.iter().any(|item| is_subject(entry, item)))
        .collect();
    about.sort_by_key(|entry| entry.at_ms);
    let first = about.first().map_or(0, |entry| entry.at_ms);
    about.iter().map(|entry| describe(entry, first)).collect()
}

/// Formats a record: time since the first one, origin, description and remaining fields.
fn describe(entry: &Entry, first_ms: u64) -> String {
    let event = entry.record.get("event").and_then(Value::as_str);
    let event = event.unwrap_or("unknown");
    let description = match event {
        "sent" => "sent to a replica",
        "attempt_failed" => "the attempt failed",
        "ended" => "the response ended",
        "refused" => "refused or given up",
        "rate_refused" => "the tenant's rate limit was exhausted, or its coordinator did not reply",
        "job_submitted" => "the job was submitted",
        "job_ownership" => "the job's ownership changed or was challenged",
        "results_listed" => "results were listed",
        "job_ended" => "the client requested the job's cancellation",
        "item_run" => "a run of an item ended",
        "cold_passed_over" => {
            "the selected replicas were cold and at their sustained rate: a warm one is chosen"
        }
        "replica_changed" => "the replica changed",
        "zone_evacuation" => "an evacuation of the zone began or ended",
        "zone_running" => "requests still running in the evacuated zone",
        "lease_overruled" => {
            "the coordinator granted a slot at an unusable replica; its lease was released"
        }
        other => other,
    };
    let fields: Vec<String> = entry
        .record
        .iter()
        .filter(|(name, value)| !OMITTED_FIELDS.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    let after = entry.at_ms.saturating_sub(first_ms);
    let origin = if entry.origin.is_empty() {
        String::new()
    } else {
        format!(" [{}]", entry.origin)
    };
    format!("+{after:>6} ms{origin} {description}: {}", fields.join(" "))
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
