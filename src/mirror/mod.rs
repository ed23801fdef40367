//! Operation log to the witness, the witness's records, and the seal of a lost incarnation.
