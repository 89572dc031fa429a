//! Command-line arguments.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Submit work to crowstall, follow it, and ask when it will be done.
///
/// Exit status: 0 done as asked; 1 refused, unknown or cancelled; 2 wrong arguments or bad input; 3 no
/// controller could be reached or none could answer in time.
#[derive(Parser)]
#[command(version)]
pub(crate) struct Arguments {
    /// Controllers to ask, HOST:PORT; the next one is tried where one does not answer
    #[arg(long, global = true, env = "CROWSTALL_SERVERS", value_delimiter = ',', default_value = "127.0.0.1:8080")]
    pub(crate) server: Vec<String>,
    /// How results are written
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub(crate) format: Format,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// How results are written.
///
/// The variants have no doc comments because clap would show them in the help text.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    Table,
    Json,
}

/// What to do.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Submit a job described in a JSON file ("-": standard input)
    Submit {
        file: PathBuf,
        /// Jobs that must be done before it starts, in addition to those that the file names
        #[arg(long, value_name = "ID", value_delimiter = ',')]
        needs: Vec<String>,
    },
    /// Show the state of a job
    Status {
        id: String,
        /// Go on until it is done or cancelled
        #[arg(long)]
        watch: bool,
    },
    /// Cancel a job
    Cancel { id: String },
    /// Show when a job is expected to be done
    Forecast(ForecastArguments),
    /// Write a completion script for a shell
    Completions { shell: clap_complete::Shell },
}

/// The arguments of `crowctl forecast`: either a job or a subcommand.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true, arg_required_else_help = true)]
pub(crate) struct ForecastArguments {
    /// The job's id
    pub(crate) id: Option<String>,
    #[command(subcommand)]
    pub(crate) command: Option<ForecastCommand>,
}

/// What to do with a history.
#[derive(Subcommand)]
pub(crate) enum ForecastCommand {
    /// Predict each line of a history from the earlier ones, and report how accurate that was
    Replay {
        /// One JSON object a line; see docs/forecast.md
        history: PathBuf,
        /// Plot the accuracy over time into an SVG file
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
    /// Write a synthetic history: drifts, biased estimates, new classes, zone outages
    History {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10_000)]
        lines: usize,
        /// The file to write; standard output if none is given
        #[arg(long, value_name = "FILE")]
        output: Option<PathBuf>,
    },
}
