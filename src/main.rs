//! Command line of a controller.

use clap::Parser;
use crowstall::config::Settings;
use crowstall::service;
use std::path::PathBuf;
use std::process::ExitCode;

/// Environment variable that selects the lowest level of log lines that are written.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";
const DEFAULT_LOG_LEVEL: &str = "info";
/// Exit status for an invalid configuration.
const EXIT_INVALID_CONFIGURATION: u8 = 2;

/// A controller of the crowstall cluster scheduler.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The platform's settings (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (Java-style properties); may be given several times
    #[arg(long, value_name = "FILE")]
    properties: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_logging();
    let settings = match Settings::load(&arguments.config, &arguments.properties) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("crowstall: {error}");
            return ExitCode::from(EXIT_INVALID_CONFIGURATION);
        }
    };
    match service::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crowstall: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start_logging() {
    let environment = env_logger::Env::new().filter_or(LOG_LEVEL_VARIABLE, DEFAULT_LOG_LEVEL);
    env_logger::Builder::from_env(environment).format_timestamp(None).init();
}
