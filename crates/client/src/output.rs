//! Plain text for people and JSON for machines.

use std::io::{self, Write};

use serde::Serialize;
use serde_json::Value;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text and tables.
    #[default]
    Plain,
    /// One JSON value a line.
    Json,
}

impl OutputFormat {
    /// The form that a command line asks for, even when the rest is wrong.
    #[must_use]
    pub fn from_args(args: &[String]) -> Self {
        if args.iter().any(|arg| arg == "--json") { Self::Json } else { Self::Plain }
    }
}

/// What a command found, in both forms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommandReport {
    /// Text without a newline at its end.
    pub plain: String,
    /// The same for machines.
    pub value: Value,
}

impl CommandReport {
    /// A report of a table and of the rows it was made from.
    pub fn from_rows<T: Serialize>(table: &TextTable, rows: &[T]) -> Self {
        Self { plain: table.to_text(), value: serde_json::to_value(rows).unwrap_or_default() }
    }
}

/// Writes reports in the form that the operator asked for.
pub struct ReportPrinter<'a> {
    format: OutputFormat,
    out: &'a mut (dyn Write + Send),
}

impl<'a> ReportPrinter<'a> {
    /// Writes to `out`.
    pub fn new(format: OutputFormat, out: &'a mut (dyn Write + Send)) -> Self {
        Self { format, out }
    }

    /// Writes one report.
    ///
    /// # Errors
    ///
    /// Fails when the output does.
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
    /// An empty table with its column titles.
    #[must_use]
    pub fn new(titles: &[&str]) -> Self {
        Self { rows: vec![titles.iter().map(|title| (*title).to_owned()).collect()] }
    }

    /// Adds a row; an empty cell is shown as `-`.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        let shown = cells.map(|cell| if cell.is_empty() { "-".to_owned() } else { cell });
        self.rows.push(shown.to_vec());
    }

    /// The table as lines, without a newline at its end.
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

/// The text of an optional value; absent ones are empty.
pub(crate) fn cell<T: ToString>(value: Option<T>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}
