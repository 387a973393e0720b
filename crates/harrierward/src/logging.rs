//! Logging to the console, as plain or JSON lines.

use eyre::Result;
use harrierward_decisions::{ConsoleStream, DECISION_TARGET, NonBlockingConsole, dropped_record};
use log::LevelFilter;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// Pattern of plain lines: time in UTC, level, message.
const PLAIN_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {m}{n}";

const APPENDER: &str = "console";

/// Pattern of decision records, which are complete lines already.
const DECISION_PATTERN: &str = "{m}";

const DECISION_APPENDER: &str = "decisions";

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Plain,
    /// One JSON object per line.
    Json,
}

/// Starts logging to standard error. Decision records bypass the format.
pub fn start(format: LogFormat, level: LevelFilter) -> Result<()> {
    let encoder: Box<dyn Encode> = match format {
        LogFormat::Plain => Box::new(PatternEncoder::new(PLAIN_PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let appender = NonBlockingConsole::start(ConsoleStream::Error, encoder, dropped_record)?;
    let appender = Appender::builder().build(APPENDER, Box::new(appender));
    let root = Root::builder().appender(APPENDER).build(level);
    let config = Config::builder()
        .appender(appender)
        .appender(decision_appender()?)
        .logger(decision_logger(level))
        .build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}

fn decision_appender() -> Result<Appender> {
    let encoder = Box::new(PatternEncoder::new(DECISION_PATTERN));
    let appender = NonBlockingConsole::start(ConsoleStream::Error, encoder, dropped_record)?;
    Ok(Appender::builder().build(DECISION_APPENDER, Box::new(appender)))
}

fn decision_logger(level: LevelFilter) -> Logger {
    Logger::builder()
        .appender(DECISION_APPENDER)
        .additive(false)
        .build(DECISION_TARGET, level)
}
