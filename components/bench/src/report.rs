//! Results as Markdown tables on standard output and as JSON lines in a file.

use std::fs::File;
use std::io::Write;

use serde_json::{Map, Value};

use crate::BenchResult;

/// Output of the results; without a file, only the tables are printed.
#[derive(Debug, Default)]
pub struct Report {
    json_lines: Option<File>,
}

/// A column of a table.
#[derive(Debug, Clone, Copy)]
pub struct Column {
    /// Title in the table.
    pub title: &'static str,
    /// Key in the JSON lines.
    pub key: &'static str,
}

/// Builds a column.
pub const fn column(title: &'static str, key: &'static str) -> Column {
    Column { title, key }
}

impl Report {
    /// Creates a report that also writes JSON lines to a file.
    pub fn with_json_lines(file: File) -> Self {
        Self {
            json_lines: Some(file),
        }
    }

    /// Prints the title and the header row of a table.
    pub fn print_header(&mut self, title: &str, columns: &[Column]) {
        println!("\n{title}\n");
        let titles: Vec<&str> = columns.iter().map(|column| column.title).collect();
        println!("| {} |", titles.join(" | "));
        println!("|{}", "---|".repeat(columns.len()));
    }

    /// Prints a row and writes it as a JSON line; the values are in the order of the columns.
    pub fn add_row(
        &mut self,
        benchmark: &str,
        columns: &[Column],
        values: Vec<Value>,
    ) -> BenchResult<()> {
        let cells: Vec<String> = values.iter().map(format_cell).collect();
        println!("| {} |", cells.join(" | "));
        let Some(file) = &mut self.json_lines else {
            return Ok(());
        };
        let mut line = Map::new();
        line.insert("part".to_owned(), benchmark.into());
        for (column, value) in columns.iter().zip(values) {
            line.insert(column.key.to_owned(), value);
        }
        writeln!(file, "{}", Value::Object(line))?;
        Ok(())
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns a value rounded to a number of decimals.
pub fn rounded(value: f64, decimals: i32) -> Value {
    let factor = 10_f64.powi(decimals);
    ((value * factor).round() / factor).into()
}
