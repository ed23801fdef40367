//! Stand-ins for the platform, the model engines and the plain services, for tests and the demo.

pub mod store;
