//! Everything that is printed.

use std::io;
use std::io::Write;

/// What a command prints: a table for people, JSON for scripts.
pub trait Show: serde::Serialize {
    /// The text for people, without a newline at its end.
    fn table(&self) -> String;
}

/// Form of what is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Table,
    /// One JSON document, on one line where more follow.
    Json,
}

/// Prints the results of commands on the standard output.
#[derive(Debug, Clone, Copy)]
pub struct Console {
    /// Form of what is printed.
    pub format: Format,
}

impl Console {
    /// Prints one result.
    pub fn show<T: Show>(&self, value: &T) {
        print(&self.render(value));
    }

    /// Prints one of several results; as JSON each is one line.
    pub fn show_line<T: Show>(&self, value: &T) {
        match self.format {
            Format::Table => print(&value.table()),
            Format::Json => print(&serde_json::to_string(value).unwrap_or_default()),
        }
    }

    /// The text of one result.
    pub fn render<T: Show>(&self, value: &T) -> String {
        match self.format {
            Format::Table => value.table(),
            Format::Json => serde_json::to_string_pretty(value).unwrap_or_default(),
        }
    }
}

/// Prints an error on the standard error.
pub fn error(text: &str) {
    let mut stderr = io::stderr().lock();
    for line in text.lines() {
        // There is nowhere to report a failure to.
        let _ = writeln!(stderr, "radishgapctl: {line}");
    }
}

fn print(text: &str) {
    // A closed pipe, such as of `head`, is no failure of the command.
    let _ = writeln!(io::stdout().lock(), "{text}");
}

/// Rows of cells under a header, in columns of even width.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Spaces between two columns.
    const GAP: usize = 2;

    /// A table with a header.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|cell| (*cell).to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// The text, without a newline at its end.
    #[must_use]
    pub fn text(&self) -> String {
        let widths = self.widths();
        let line = |row: &Vec<String>| {
            let mut text = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                text.push_str(&format!("{cell:<width$}", width = width + Self::GAP));
            }
            text.trim_end().to_owned()
        };
        let lines: Vec<_> = self.rows.iter().map(line).collect();
        lines.join("\n")
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            let lengths = cells.map(|cell| cell.chars().count());
            lengths.max().unwrap_or_default()
        };
        (0..columns).map(width).collect()
    }
}
