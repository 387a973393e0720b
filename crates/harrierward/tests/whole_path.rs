//! The main path of a new user: a batch job from its file to its results, a planned stop, exit codes.

mod support;

use std::process::Command;

use support::{PROGRAM, Standalone};

fn batch_file(items: usize, model: &str) -> String {
    (0..items)
        .map(|number| {
            format!(
                r#"{{"custom_id":"item-{number}","method":"POST","url":"/v1/completions","body":{{"model":"{model}","prompt":"lot {number}","max_tokens":6}}}}"#
            ) + "\n"
        })
        .collect()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_batch_runs_from_file_to_results_and_the_stop_is_clean() {
    let standalone = Standalone::start();
    let directory = std::env::temp_dir().join(format!("harrierward-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory for the input");
    let file = directory.join("lots.jsonl");
    std::fs::write(&file, batch_file(450, "lot-oracle")).expect("the input is written");
    let path = file.to_string_lossy().into_owned();

    let key = "trakia-caller-key";
    let submit = ["batch", "submit", &path, "--follow", "--json"];
    let submitted = standalone.run(key, &submit);
    assert!(submitted.status.success(), "{}", text(&submitted.stderr));
    let job: serde_json::Value = serde_json::from_slice(&submitted.stdout).expect("JSON");
    assert_eq!(job["status"], "completed");
    assert_eq!(job["request_counts"]["completed"], 450);

    let job_id = job["id"].as_str().expect("an id");
    let results = standalone.run(key, &["batch", "results", job_id]);
    let mut ids: Vec<String> = text(&results.stdout)
        .lines()
        .map(|line| {
            let value: serde_json::Value = serde_json::from_str(line).expect("JSON line");
            value["custom_id"].as_str().expect("an id").to_owned()
        })
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 450, "every item has exactly one result");

    let other_tenant = standalone.run("desks-caller-key", &["batch", "status", job_id]);
    assert_eq!(other_tenant.status.code(), Some(1));
    assert!(text(&other_tenant.stderr).contains("404"));

    std::fs::write(&file, "{\"custom_id\":\"a\"}\n").expect("a bad input is written");
    let bad = standalone.run(key, &["batch", "submit", &path]);
    assert_eq!(bad.status.code(), Some(1));
    std::fs::remove_dir_all(&directory).expect("the input is removed");

    assert!(standalone.stop().success(), "SIGTERM ends with exit code 0");
}

/// Without a handler the signal would end the process and all responses in progress.
#[test]
fn a_hangup_ends_nothing() {
    let standalone = Standalone::start();
    for _ in 0..3 {
        standalone.signal("-HUP");
    }
    let listed = standalone.run("trakia-caller-key", &["batch", "list"]);
    assert!(listed.status.success(), "{}", text(&listed.stderr));
    assert!(standalone.stop().success(), "SIGTERM ends with exit code 0");
}

#[test]
fn wrong_usage_has_its_own_exit_code() {
    let run = |arguments: &[&str]| {
        let output = Command::new(PROGRAM).args(arguments).output();
        output.expect("the program runs").status.code()
    };
    assert_eq!(run(&["--help"]), Some(0));
    assert_eq!(run(&["batch", "--help"]), Some(0));
    assert_eq!(run(&["batch", "submit", "--help"]), Some(0));
    assert_eq!(run(&["--version"]), Some(0));
    assert_eq!(run(&["nonsense"]), Some(2));
    assert_eq!(run(&["serve"]), Some(2));
    assert_eq!(run(&["settings", "check", "/nonexistent"]), Some(1));
}
