//! `explain ID`: the story of a request, job, item, replica or zone from the decision logs of many machines.
//!
//! Lines may carry a prefix, such as a machine's name; it is kept. A line that holds no record is passed over.

use std::collections::BTreeSet;
use std::io::Read;

use eyre::WrapErr;
use getopts::Matches;
use serde_json::{Map, Value};

use crate::command_line::{Failure, Outcome};

/// Fields that name what a record is about.
const SUBJECTS: [&str; 5] = ["request", "job", "item", "replica", "zone"];

/// Fields that are printed elsewhere.
const SHOWN: [&str; 3] = ["at_ms", "event", "type"];

struct Entry {
    at_ms: u64,
    origin: String,
    record: Map<String, Value>,
}

/// Prints the story of the id given.
pub fn run(matches: &Matches) -> Outcome {
    let Some((id, files)) = matches.free.split_first() else {
        return Err(Failure::Usage("which id?".to_owned()));
    };
    let text = read_all(files)?;
    let story = story(&text, id);
    if story.is_empty() {
        return Err(eyre::eyre!("no line speaks of {id}").into());
    }
    for line in story {
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

fn names(entry: &Entry, id: &str) -> bool {
    SUBJECTS.iter().any(|field| is_about(entry, field, id))
}

/// True if a field names the id. Jobs are kept under the id that their caller gave, a dot and a hash of its tenant.
fn is_about(entry: &Entry, field: &str, id: &str) -> bool {
    let value = entry.record.get(field).and_then(Value::as_str);
    let rest = value.and_then(|value| value.strip_prefix(id));
    rest.is_some_and(|rest| rest.is_empty() || (field == "job" && rest.starts_with('.')))
}

/// Lines about `id`, in order of time; those of a job bring its items' lines.
pub fn story(text: &str, id: &str) -> Vec<String> {
    let entries: Vec<Entry> = text.lines().filter_map(parse).collect();
    let items: BTreeSet<String> = entries
        .iter()
        .filter(|entry| is_about(entry, "job", id))
        .filter_map(|entry| entry.record.get("item")?.as_str())
        .map(str::to_owned)
        .collect();
    let mut about: Vec<&Entry> = entries
        .iter()
        .filter(|entry| names(entry, id) || items.iter().any(|item| names(entry, item)))
        .collect();
    about.sort_by_key(|entry| entry.at_ms);
    let first = about.first().map_or(0, |entry| entry.at_ms);
    about.iter().map(|entry| tell(entry, first)).collect()
}

/// A record in plain words, its inputs behind.
fn tell(entry: &Entry, first_ms: u64) -> String {
    let event = entry.record.get("event").and_then(Value::as_str);
    let event = event.unwrap_or("unknown");
    let words = match event {
        "sent" => "sent to a replica",
        "attempt_failed" => "the attempt failed",
        "ended" => "the answer ended",
        "refused" => "refused or given up",
        "rate_refused" => "the tenant's rate did not allow it, or nobody who counts it answered",
        "job_submitted" => "the job was submitted",
        "job_ownership" => "the job's owner changed",
        "results_listed" => "results were listed",
        "job_ended" => "the job's client ended it",
        "item_run" => "a run of an item ended",
        "cold_passed_over" => {
            "the replicas asked for were cold and had got what they bear: a warm one is chosen"
        }
        "replica_changed" => "the replica changed",
        "zone_evacuation" => "the zone went out of service, or came back",
        "zone_running" => "requests still running in the evacuated zone",
        "lease_overruled" => "the coordinator had not heard; its lease was given back",
        other => other,
    };
    let inputs: Vec<String> = entry
        .record
        .iter()
        .filter(|(name, value)| !SHOWN.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    let after = entry.at_ms.saturating_sub(first_ms);
    let origin = if entry.origin.is_empty() {
        String::new()
    } else {
        format!(" [{}]", entry.origin)
    };
    format!("+{after:>6} ms{origin} {words}: {}", inputs.join(" "))
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
