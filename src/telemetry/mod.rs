//! Metrics, traces and logs.
