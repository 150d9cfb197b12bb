//! Tables of results, as text and as JSON.

use serde::Serialize;

/// A table; each row has a cell for each column.
#[derive(Debug, Serialize)]
pub(crate) struct Table {
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(columns: &[&str]) -> Self {
        Self { columns: columns.iter().map(ToString::to_string).collect(), rows: Vec::new() }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
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
