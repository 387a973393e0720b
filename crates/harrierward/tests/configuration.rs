//! A configuration change that is refused was not committed.
//!
//! Guards against the status of a refusal, which says "not run", after the commit.

mod support;

use serde_json::Value;
use support::Standalone;

const KEY: &str = "trakia-operator-key";

fn configuration(standalone: &Standalone) -> Value {
    let read = standalone.run(KEY, &["config", "get", "--json"]);
    assert!(read.status.success(), "{read:?}");
    serde_json::from_slice(&read.stdout).expect("JSON")
}

#[test]
fn a_change_with_an_invalid_wait_is_not_committed() {
    let standalone = Standalone::start();
    let before = configuration(&standalone);
    let directory = std::env::temp_dir().join(format!("harrierward-config-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory for the change");
    let file = directory.join("objects.toml");
    let content = before["file"].as_str().expect("the objects as a file");
    std::fs::write(&file, content).expect("the change is written");
    let path = file.to_string_lossy().into_owned();
    for wait in ["-1", "1e30", "NaN"] {
        let applied = standalone.run(KEY, &["config", "apply", &path, &format!("--wait={wait}")]);
        assert_eq!(applied.status.code(), Some(1), "wait {wait}");
        let after = configuration(&standalone);
        assert_eq!(after["revision"], before["revision"], "wait {wait}");
    }
    let applied = standalone.run(KEY, &["config", "apply", &path]);
    assert!(applied.status.success(), "{applied:?}");
    std::fs::remove_dir_all(&directory).expect("the change is removed");
}
