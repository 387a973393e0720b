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
    let code = command_line::run(&arguments);
    // Lines that wait would end with the process.
    log::logger().flush();
    code
}
