//! Prints results, progress and errors as text or JSON.

use std::io::{self, Write};

use clap::builder::styling::{AnsiColor, Style};
use serde_json::{Value, json};

use super::cli::OutputFormat;
use super::error::CommandError;
use crate::document::{Change, ChangeKind};

/// Printer of the output of one command.
///
/// Styles are written as ANSI escape codes; the writers may strip them.
pub(super) struct Printer<'a> {
    pub(super) format: OutputFormat,
    pub(super) out: &'a mut dyn Write,
    pub(super) err: &'a mut dyn Write,
}

impl Printer<'_> {
    /// Prints a result in the selected format.
    pub(super) fn print_result(&mut self, text: &str, json: Value) -> io::Result<()> {
        match self.format {
            OutputFormat::Text => writeln!(self.out, "{}", text.trim_end_matches('\n')),
            OutputFormat::Json => writeln!(self.out, "{json}"),
        }
    }

    /// Prints a progress line to the error stream, in text format only.
    pub(super) fn print_progress(&mut self, line: &str) -> io::Result<()> {
        match self.format {
            OutputFormat::Text => writeln!(self.err, "{line}"),
            OutputFormat::Json => Ok(()),
        }
    }

    /// Prints an error, and in text format the changes that belong to it.
    pub(super) fn print_error(&mut self, error: &CommandError) -> io::Result<()> {
        if self.format == OutputFormat::Json {
            return writeln!(self.err, "{}", error.to_json());
        }
        let style = AnsiColor::Red.on_default().bold();
        let (number, name) = (error.code().number(), error.code().name());
        writeln!(self.err, "{style}error{style:#} {number} {name}: {error}")?;
        write!(self.err, "{}", changes_text(error.changes()))
    }
}

/// Returns one coloured line per change.
pub(super) fn changes_text(changes: &[Change]) -> String {
    let lines = changes.iter().map(|change| {
        let style = style_of(change.kind);
        format!("{style}{change}{style:#}\n")
    });
    lines.collect()
}

/// Returns a document version and the changes to it as a JSON object.
pub(super) fn changes_json(version: u64, changes: &[Change]) -> Value {
    json!({ "version": version, "changes": changes })
}

/// Formats rows as a table whose columns are aligned; the first row is the header.
pub(super) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let widths: Vec<usize> = (0..columns).map(|column| width(rows, column)).collect();
    let lines = rows.iter().map(|row| {
        let cells = row.iter().zip(&widths);
        let line: String = cells
            .map(|(cell, width)| format!("{cell:width$}  "))
            .collect();
        format!("{}\n", line.trim_end())
    });
    lines.collect()
}

fn width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(String::len).max().unwrap_or_default()
}

fn style_of(kind: ChangeKind) -> Style {
    match kind {
        ChangeKind::Added => AnsiColor::Green.on_default(),
        ChangeKind::Removed => AnsiColor::Red.on_default(),
        ChangeKind::Changed => AnsiColor::Yellow.on_default(),
    }
}
