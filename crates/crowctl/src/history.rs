//! `crowctl forecast history`: writes a synthetic history.

use crate::error::Error;
use crowstall_forecast::synthetic::HistoryGenerator;
use indicatif::ProgressBar;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Writes `lines` lines of the synthetic history of `seed` to `output`, or to standard output if it is `None`.
pub(crate) fn write(seed: u64, lines: usize, output: Option<&Path>) -> Result<(), Error> {
    let name = output.map_or_else(|| "standard output".into(), |path| path.display().to_string());
    write_lines(seed, lines, output).map_err(|source| Error::File { path: name, source })
}

fn write_lines(seed: u64, lines: usize, output: Option<&Path>) -> io::Result<()> {
    let mut sink = BufWriter::new(open(output)?);
    let bar = if output.is_some() { ProgressBar::new(lines as u64) } else { ProgressBar::hidden() };
    for line in HistoryGenerator::new(seed).take(lines) {
        let text = serde_json::to_string(&line)?;
        if let Err(error) = writeln!(sink, "{text}") {
            // A reader such as `head` closes the pipe when it has read enough; that is not an error.
            return if error.kind() == io::ErrorKind::BrokenPipe { Ok(()) } else { Err(error) };
        }
        bar.inc(1);
    }
    bar.finish_and_clear();
    sink.flush()
}

fn open(output: Option<&Path>) -> io::Result<Box<dyn Write>> {
    Ok(match output {
        Some(path) => Box::new(File::create(path)?),
        None => Box::new(io::stdout().lock()),
    })
}
