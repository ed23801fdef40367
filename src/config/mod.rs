//! The accepted configuration, edits to it, and its versions.
