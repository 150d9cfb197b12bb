//! Tables of results, as text and as JSON.

use serde::Serialize;

/// A table of text cells; every row has one for each column.
#[derive(Debug, Serialize)]
pub(crate) struct Table {
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(columns: &[&str]) -> Self {
        Self { columns: columns.iter().map(ToString::to_string).collect(), rows: Vec::new() }
    }

    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the cells of a column; empty if there is no such column.
    pub(crate) fn column(&self, name: &str) -> Vec<&str> {
        let Some(index) = self.columns.iter().position(|column| column == name) else {
            return Vec::new();
        };
        self.rows.iter().map(|row| row[index].as_str()).collect()
    }

    /// Returns a cell as a number, from the row of a load and its policies
    /// with a trainer; 0 if there is none.
    pub(crate) fn value_with_trainer(&self, column: &str, load: &str, policies: &str) -> f64 {
        let rows = self.column("load").into_iter().zip(self.column("policies"));
        let rows = rows.zip(self.column("trainer")).zip(self.column(column));
        let mut matching =
            rows.filter(|(((l, p), t), _)| *l == load && *p == policies && *t == "yes");
        matching.next().and_then(|(_, cell)| cell.parse().ok()).unwrap_or(0.0)
    }

    pub(crate) fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    pub(crate) fn text(&self) -> String {
        let mut widths: Vec<_> = self.columns.iter().map(String::len).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.len());
            }
        }
        let line = |cells: &[String]| {
            let padded = cells.iter().zip(&widths).map(|(c, &w)| format!("{c:<w$}"));
            padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
        };
        let mut lines = vec![line(&self.columns)];
        lines.extend(self.rows.iter().map(|row| line(row)));
        lines.join("\n")
    }
}
