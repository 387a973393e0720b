//! The program: command line, settings and wiring only.

mod client;
mod command_line;
mod commands;
mod explain;
mod logging;
mod serve;
mod settings;
mod standalone;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    command_line::run(&arguments)
}
