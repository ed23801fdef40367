//! Prepaid budgets: rows, shares, issues, reservations and sizing.
