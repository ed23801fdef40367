//! Tables for people.

use std::io::{
    self,
    Write, //
};

/// Prints rows in columns as wide as their longest cell. A column of numbers is aligned to the
/// right.
pub(super) fn print(out: &mut dyn Write, head: &[&str], rows: &[Vec<String>]) -> io::Result<()> {
    let width = |at: usize| {
        let cells = rows.iter().map(|row| row[at].chars().count());
        cells.chain([head[at].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let number = |at: usize| {
        let mut cells = rows.iter().map(|row| row[at].as_str());
        !rows.is_empty() && cells.all(|cell| cell.parse::<f64>().is_ok())
    };
    let right: Vec<bool> = (0..head.len()).map(number).collect();
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    for row in std::iter::once(&head).chain(rows) {
        let cells = row.iter().zip(&widths).zip(&right);
        let cells = cells.map(|((cell, width), right)| match right {
            true => format!("{cell:>width$}"),
            false => format!("{cell:<width$}"),
        });
        let line: Vec<String> = cells.collect();
        writeln!(out, "{}", line.join("  ").trim_end())?;
    }
    Ok(())
}
