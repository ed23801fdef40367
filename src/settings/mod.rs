//! The daemon's settings: JSON with comments, checked as a whole before the start.
