//! crowctl, the command line of crowstall's users and operators.

mod client;
mod history;
mod jobs;
mod output;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

/// Submit work to crowstall, follow it, and ask when it will be done.
///
/// Exit status: 0 done as asked; 1 refused, unknown or cancelled; 2 wrong arguments or bad input; 3 no
/// controller could be reached or none could answer in time.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Controllers to ask, HOST:PORT; the next one is tried where one does not answer
    #[arg(long, global = true, env = "CROWSTALL_SERVERS", value_delimiter = ',', default_value = "127.0.0.1:8080")]
    server: Vec<String>,
    /// How results are written
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    format: Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Table,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Submit a job described in a JSON file ("-": standard input)
    Submit {
        file: PathBuf,
        /// Jobs that have to be done before it starts, beside those that the file names
        #[arg(long, value_name = "ID", value_delimiter = ',')]
        needs: Vec<String>,
    },
    /// Tell the state of a job
    Status {
        id: String,
        /// Go on until it is done or cancelled
        #[arg(long)]
        watch: bool,
    },
    /// Cancel a job
    Cancel { id: String },
    /// Tell when a job is expected to be done
    Forecast(ForecastArguments),
    /// Write a completion script for a shell
    Completions { shell: clap_complete::Shell },
}

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true, arg_required_else_help = true)]
struct ForecastArguments {
    /// The job's id
    id: Option<String>,
    #[command(subcommand)]
    command: Option<ForecastCommand>,
}

#[derive(Subcommand)]
enum ForecastCommand {
    /// Predict each line of a history from the earlier ones, and tell how well that went
    Replay {
        /// One JSON object a line; see docs/forecast.md
        history: PathBuf,
        /// Draw how it went over time into an SVG file
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
    /// Write a made-up history: drifts, biased estimates, new classes, dark zones
    History {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10_000)]
        lines: usize,
        /// Where to; standard output if not said
        #[arg(long, value_name = "FILE")]
        output: Option<PathBuf>,
    },
}

/// Why it did not work out.
#[derive(Debug)]
pub enum Failure {
    /// Refused for good, unknown, or not as wanted.
    Refused(String),
    /// What was given can't be used.
    BadInput(String),
    /// Nobody could answer.
    Unreachable(String),
}

impl Failure {
    fn status(&self) -> u8 {
        match self {
            Failure::Refused(_) => 1,
            Failure::BadInput(_) => 2,
            Failure::Unreachable(_) => 3,
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let format = arguments.format;
    let client = client::Client::new(arguments.server);
    let result = match arguments.command {
        Command::Submit { file, needs } => jobs::submit(&client, &file, &needs, format),
        Command::Status { id, watch: false } => jobs::status(&client, &id, format),
        Command::Status { id, watch: true } => jobs::watch(&client, &id, format),
        Command::Cancel { id } => jobs::cancel(&client, &id, format),
        Command::Forecast(ForecastArguments { command: Some(command), .. }) => match command {
            ForecastCommand::Replay { history, plot } => history::replay(&history, plot.as_deref(), format),
            ForecastCommand::History { seed, lines, output } => history::write(seed, lines, output.as_deref()),
        },
        Command::Forecast(ForecastArguments { id, .. }) => jobs::forecast(&client, &id.unwrap_or_default(), format),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "crowctl", &mut std::io::stdout());
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let (Failure::Refused(why) | Failure::BadInput(why) | Failure::Unreachable(why)) = &failure;
            eprintln!("crowctl: {why}");
            ExitCode::from(failure.status())
        }
    }
}
