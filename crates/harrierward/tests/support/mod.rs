//! Starts the program for tests, as a new user would.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Output, Stdio};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_harrierward");

/// A running `harrierward standalone`; killed on drop.
pub struct Standalone {
    process: Child,
    /// Address for callers, `IP:PORT`.
    pub address: String,
}

impl Drop for Standalone {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Standalone {
    /// Starts the program on a free port, and waits until it listens.
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

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Runs a client command against the program.
    pub fn run(&self, key: &str, arguments: &[&str]) -> Output {
        Command::new(PROGRAM)
            .args(arguments)
            .args(["--server", &self.address, "--key", key])
            .output()
            .expect("the command runs")
    }

    /// Sends a signal, named as for `kill`.
    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        let killed = Command::new("kill").args([signal, &id]).status();
        assert!(killed.expect("kill runs").success());
    }

    /// Stops the program with SIGTERM; returns its exit status.
    pub fn stop(mut self) -> ExitStatus {
        self.signal("-TERM");
        self.process.wait().expect("it ends")
    }
}
