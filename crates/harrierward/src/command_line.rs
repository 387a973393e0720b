//! Selects the command, prints help and version at each level, and maps outcomes to exit codes.

use std::process::ExitCode;

use getopts::{Matches, Options};

use crate::{commands, explain, serve, standalone};

const EXIT_SUCCESS: u8 = 0;
const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Why a command did not succeed; decides the exit code.
#[derive(Debug)]
pub enum Failure {
    /// The command line is wrong.
    Usage(String),
    /// The command itself failed.
    Failed(eyre::Report),
}

impl<E: Into<eyre::Report>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::Failed(error.into())
    }
}

/// Result of a command.
pub type Outcome = Result<(), Failure>;

struct Command {
    /// Words that select the command.
    words: &'static [&'static str],
    /// Positional arguments, as the help shows them; empty for none.
    arguments: &'static str,
    /// Description for the help.
    about: &'static str,
    options: fn(&mut Options),
    run: fn(&Matches) -> Outcome,
}

const COMMANDS: [Command; 15] = [
    Command {
        words: &["serve"],
        arguments: "",
        about: "Runs the daemon until a signal stops it.",
        options: serve::options,
        run: serve::run,
    },
    Command {
        words: &["standalone"],
        arguments: "",
        about: "Runs one node with an in-memory platform and emulated engines, to try things out.",
        options: standalone::options,
        run: standalone::run,
    },
    Command {
        words: &["settings", "check"],
        arguments: "FILE",
        about: "Checks a settings file, of the daemon or of the users' platform (--platform).",
        options: commands::check_options,
        run: commands::settings_check,
    },
    Command {
        words: &["explain"],
        arguments: "ID [FILE...]",
        about: "Prints the history of a request, job, item or replica from decision logs (or standard input).",
        options: commands::no_options,
        run: explain::run,
    },
    Command {
        words: &["config", "get"],
        arguments: "",
        about: "Prints the operator's own objects in the form that `config apply` takes.",
        options: commands::client_options,
        run: commands::config_get,
    },
    Command {
        words: &["config", "apply"],
        arguments: "FILE",
        about: "Checks and commits a change of configuration.",
        options: commands::apply_options,
        run: commands::config_apply,
    },
    Command {
        words: &["config", "history"],
        arguments: "",
        about: "Prints the operator's own changes: who, when, what.",
        options: commands::client_options,
        run: commands::config_history,
    },
    Command {
        words: &["policy", "check"],
        arguments: "FILE",
        about: "Runs a policy program on example numbers and shows the plan and its cost.",
        options: commands::json_option,
        run: commands::policy_check,
    },
    Command {
        words: &["batch", "submit"],
        arguments: "FILE",
        about: "Uploads a JSONL file and creates a batch job.",
        options: commands::submit_options,
        run: commands::batch_submit,
    },
    Command {
        words: &["batch", "status"],
        arguments: "BATCH",
        about: "Prints a batch job; follows it to its end with --follow.",
        options: commands::follow_options,
        run: commands::batch_status,
    },
    Command {
        words: &["batch", "cancel"],
        arguments: "BATCH",
        about: "Cancels a batch job.",
        options: commands::client_options,
        run: commands::batch_cancel,
    },
    Command {
        words: &["batch", "results"],
        arguments: "BATCH",
        about: "Prints the results committed so far, one JSON line each.",
        options: commands::client_options,
        run: commands::batch_results,
    },
    Command {
        words: &["batch", "list"],
        arguments: "",
        about: "Lists batch jobs, newest first.",
        options: commands::client_options,
        run: commands::batch_list,
    },
    Command {
        words: &["status"],
        arguments: "",
        about: "Prints what a daemon says of itself.",
        options: commands::client_options,
        run: commands::status,
    },
    Command {
        words: &["digest"],
        arguments: "KEY",
        about: "Prints the digest of an API key, as a tenant object holds it.",
        options: commands::no_options,
        run: commands::digest,
    },
];

fn full_usage(prefix: &[&str]) -> String {
    let mut text = String::from("Usage: harrierward COMMAND [OPTIONS]\n\nCommands:\n");
    for command in &COMMANDS {
        if command.words.starts_with(prefix) {
            let name = format!("{} {}", command.words.join(" "), command.arguments);
            text.push_str(&format!("  {name:<24} {}\n", command.about));
        }
    }
    text.push_str("\n`harrierward COMMAND --help` shows the options of a command.\n");
    text.push_str("Exit codes: 0 done, 1 failed, 2 wrong usage.\n");
    text
}

fn version() -> String {
    format!("harrierward {}", env!("CARGO_PKG_VERSION"))
}

fn is_help(word: &str) -> bool {
    matches!(word, "--help" | "-h")
}

fn is_version(word: &str) -> bool {
    matches!(word, "--version" | "-V")
}

/// Parses and runs the command line.
pub fn run(arguments: &[String]) -> ExitCode {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let command = COMMANDS
        .iter()
        .find(|command| words.starts_with(command.words));
    if let Some(command) = command {
        return run_command(command, &arguments[command.words.len()..]);
    }
    let named: Vec<&str> = words
        .iter()
        .copied()
        .take_while(|word| !word.starts_with('-'))
        .collect();
    let group_exists = COMMANDS
        .iter()
        .any(|command| command.words.starts_with(&named));
    if words.iter().any(|word| is_version(word)) {
        println!("{}", version());
        return ExitCode::from(EXIT_SUCCESS);
    }
    if group_exists && words.iter().any(|word| is_help(word)) {
        print!("{}", full_usage(&named));
        return ExitCode::from(EXIT_SUCCESS);
    }
    if words.is_empty() || group_exists {
        eprint!("harrierward: a command is needed\n{}", full_usage(&named));
    } else {
        let wrong = words.join(" ");
        eprint!("harrierward: no such command: {wrong}\n{}", full_usage(&[]));
    }
    ExitCode::from(EXIT_USAGE)
}

fn run_command(command: &Command, arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    (command.options)(&mut options);
    let name = command.words.join(" ");
    let brief = format!(
        "Usage: harrierward {name} [OPTIONS] {}\n\n{}",
        command.arguments, command.about
    );
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("harrierward {name}: {error}\n{}", options.usage(&brief));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(&brief));
        return ExitCode::from(EXIT_SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{}", version());
        return ExitCode::from(EXIT_SUCCESS);
    }
    let expected = usize::from(!command.arguments.is_empty());
    let open_ended = command.arguments.ends_with("...]");
    let too_few = matches.free.len() < expected;
    if too_few || (matches.free.len() > expected && !open_ended) {
        let given = matches.free.len();
        eprintln!(
            "harrierward {name}: takes {expected} argument(s), {given} given\n{}",
            options.usage(&brief)
        );
        return ExitCode::from(EXIT_USAGE);
    }
    match (command.run)(&matches) {
        Ok(()) => ExitCode::from(EXIT_SUCCESS),
        Err(Failure::Usage(message)) => {
            eprintln!("harrierward {name}: {message}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(Failure::Failed(report)) => {
            eprintln!("harrierward {name}: {report:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
