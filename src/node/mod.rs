//! One state machine composed of claims, budgets, mirror and bills.
