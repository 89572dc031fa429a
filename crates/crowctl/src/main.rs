//! crowctl, the command-line client of crowstall for users and operators.

mod arguments;
mod client;
mod error;
mod forecast;
mod history;
mod jobs;
mod output;
mod plot;
mod replay;
mod submission;

use arguments::{Arguments, Command, ForecastArguments, ForecastCommand};
use clap::{CommandFactory, Parser};
use client::Client;
use error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crowctl: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

fn run(arguments: Arguments) -> Result<(), Error> {
    let format = arguments.format;
    let client = Client::new(arguments.server);
    match arguments.command {
        Command::Submit { file, needs } => submission::submit(&client, &file, &needs, format),
        Command::Status { id, watch: false } => jobs::status(&client, &id, format),
        Command::Status { id, watch: true } => jobs::watch(&client, &id, format),
        Command::Cancel { id } => jobs::cancel(&client, &id, format),
        Command::Forecast(ForecastArguments { command: Some(command), .. }) => match command {
            ForecastCommand::Replay { history, plot } => replay::replay(&history, plot.as_deref(), format),
            ForecastCommand::History { seed, lines, output } => history::write(seed, lines, output.as_deref()),
        },
        Command::Forecast(ForecastArguments { id, .. }) => {
            forecast::show_forecast(&client, &id.unwrap_or_default(), format)
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "crowctl", &mut std::io::stdout());
            Ok(())
        }
    }
}
