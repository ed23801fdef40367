//! Interface to model engines and plain services.
