//! The program started as a new user would, for tests.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Output, Stdio};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_harrierward");

/// A running `standalone`, ended when it is dropped.
pub struct Standalone {
    process: Child,
    /// `IP:PORT` for callers.
    pub address: String,
}

impl Drop for Standalone {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Standalone {
    /// Starts it, and waits until it says that it listens.
    pub fn start() -> Self {
        let mut process = Command::new(PROGRAM)
            .args(["standalone", "--listen", "127.0.0.1:0"])
            .args(["--log-level", "error"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let output = process.stdout.take().expect("its output is piped");
        let line = BufReader::new(output).lines().next();
        let line = line.expect("it prints a line").expect("the line is text");
        let address = line
            .split("http://")
            .nth(1)
            .and_then(|rest| rest.split(';').next())
            .expect("the line names the address")
            .to_owned();
        Self { process, address }
    }

    /// Runs another command of the program against it.
    pub fn run(&self, key: &str, arguments: &[&str]) -> Output {
        Command::new(PROGRAM)
            .args(arguments)
            .args(["--server", &self.address, "--key", key])
            .output()
            .expect("the command runs")
    }

    /// Sends a signal, as `kill` names it.
    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        let killed = Command::new("kill").args([signal, &id]).status();
        assert!(killed.expect("kill runs").success());
    }

    /// Asks it to stop; how it ended.
    pub fn stop(mut self) -> ExitStatus {
        self.signal("-TERM");
        self.process.wait().expect("it ends")
    }
}
