//! Results as a table for readers and as JSON lines for programs.

use std::fs::File;
use std::io::Write;

use serde_json::{Map, Value};

use crate::Outcome;

/// Where results go.
#[derive(Debug, Default)]
pub struct Report {
    lines: Option<File>,
}

/// A column of a table: its title and the key of the JSON lines.
#[derive(Debug, Clone, Copy)]
pub struct Column {
    pub title: &'static str,
    pub key: &'static str,
}

/// Builds a column.
pub const fn column(title: &'static str, key: &'static str) -> Column {
    Column { title, key }
}

impl Report {
    /// Writes JSON lines to a file beside the tables.
    pub fn with_lines(lines: File) -> Self {
        Self { lines: Some(lines) }
    }

    /// Prints the title and the head of a table.
    pub fn head(&mut self, title: &str, columns: &[Column]) {
        println!("\n{title}\n");
        let titles: Vec<&str> = columns.iter().map(|column| column.title).collect();
        println!("| {} |", titles.join(" | "));
        println!("|{}", "---|".repeat(columns.len()));
    }

    /// Prints one row, whose values come in the order of the columns.
    pub fn row(&mut self, part: &str, columns: &[Column], values: Vec<Value>) -> Outcome<()> {
        let cells: Vec<String> = values.iter().map(cell).collect();
        println!("| {} |", cells.join(" | "));
        let Some(lines) = &mut self.lines else {
            return Ok(());
        };
        let mut line = Map::new();
        line.insert("part".to_owned(), part.into());
        for (column, value) in columns.iter().zip(values) {
            line.insert(column.key.to_owned(), value);
        }
        writeln!(lines, "{}", Value::Object(line))?;
        Ok(())
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Rounds to a number of decimals.
pub fn rounded(value: f64, decimals: i32) -> Value {
    let factor = 10_f64.powi(decimals);
    ((value * factor).round() / factor).into()
}
