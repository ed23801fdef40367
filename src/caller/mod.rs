//! HTTP interface to callers.
