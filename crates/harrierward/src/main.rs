//! The `harrierward` program: command line, settings and wiring.

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
    let code = command_line::run(&arguments);
    // The log writes asynchronously; queued lines would be lost on exit.
    log::logger().flush();
    code
}
