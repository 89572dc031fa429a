use clap::Parser;
use crowstall::config::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

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
    env_logger::Builder::from_env(env_logger::Env::new().filter_or("LOG_LEVEL", "info")).format_timestamp(None).init();
    let settings = match Settings::load(&arguments.config, &arguments.properties) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("crowstall: {error}");
            return ExitCode::from(2);
        }
    };
    match crowstall::service::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crowstall: {error}");
            ExitCode::FAILURE
        }
    }
}
