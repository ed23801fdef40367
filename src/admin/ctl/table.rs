//! Plain-text tables.

use std::io::{
    self,
    Write, //
};

/// Prints a header and rows in columns as wide as their longest cell. Columns that hold only
/// numbers are aligned to the right.
pub(super) fn print(out: &mut dyn Write, header: &[&str], rows: &[Vec<String>]) -> io::Result<()> {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let is_numeric = |column: usize| {
        let mut cells = rows.iter().map(|row| row[column].as_str());
        !rows.is_empty() && cells.all(|cell| cell.parse::<f64>().is_ok())
    };
    let align_right: Vec<bool> = (0..header.len()).map(is_numeric).collect();
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row.iter().zip(&widths).zip(&align_right);
        let cells = cells.map(|((cell, width), right)| match right {
            true => format!("{cell:>width$}"),
            false => format!("{cell:<width$}"),
        });
        let line: Vec<String> = cells.collect();
        writeln!(out, "{}", line.join("  ").trim_end())?;
    }
    Ok(())
}
