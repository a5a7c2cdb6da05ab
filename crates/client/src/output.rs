//! Output of reports as plain text or JSON.

use std::io::{self, Write};

use serde::Serialize;
use serde_json::Value;

/// Format of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text and tables.
    #[default]
    Plain,
    /// One JSON value per line.
    Json,
}

impl OutputFormat {
    /// Returns the requested format, even if the rest of the command line is invalid.
    #[must_use]
    pub fn from_args(args: &[String]) -> Self {
        if args.iter().any(|arg| arg == "--json") { Self::Json } else { Self::Plain }
    }
}

/// The result of a command, in both formats.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommandReport {
    /// Plain text without a trailing newline.
    pub plain: String,
    /// The same result as JSON.
    pub value: Value,
}

impl CommandReport {
    /// Creates a report from a table and the rows it was built from.
    pub fn from_rows<T: Serialize>(table: &TextTable, rows: &[T]) -> Self {
        Self { plain: table.to_text(), value: serde_json::to_value(rows).unwrap_or_default() }
    }
}

/// Writes reports in the requested format.
pub struct ReportPrinter<'a> {
    format: OutputFormat,
    out: &'a mut (dyn Write + Send),
}

impl<'a> ReportPrinter<'a> {
    /// Creates a printer that writes to `out`.
    pub fn new(format: OutputFormat, out: &'a mut (dyn Write + Send)) -> Self {
        Self { format, out }
    }

    /// Writes one report.
    ///
    /// # Errors
    ///
    /// Fails if writing to the output fails.
    pub fn print(&mut self, report: &CommandReport) -> io::Result<()> {
        match self.format {
            OutputFormat::Plain => writeln!(self.out, "{}", report.plain)?,
            OutputFormat::Json => writeln!(self.out, "{}", report.value)?,
        }
        self.out.flush()
    }
}

/// A table of left-aligned columns.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with column titles and no rows.
    #[must_use]
    pub fn new(titles: &[&str]) -> Self {
        Self { rows: vec![titles.iter().map(|title| (*title).to_owned()).collect()] }
    }

    /// Adds a row; an empty cell is shown as `-`.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        let shown = cells.map(|cell| if cell.is_empty() { "-".to_owned() } else { cell });
        self.rows.push(shown.to_vec());
    }

    /// Formats the table, without a trailing newline.
    #[must_use]
    pub fn to_text(&self) -> String {
        let widths = self.widths();
        let mut lines = Vec::with_capacity(self.rows.len());
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            lines.push(line.trim_end().to_owned());
        }
        lines.join("\n")
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = vec![0; self.rows[0].len()];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }
}

/// Formats an optional value as a table cell; `None` becomes an empty cell.
pub(crate) fn cell<T: ToString>(value: Option<T>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}
