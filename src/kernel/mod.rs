//! Plug-in registry, start and stop order, and the context that plug-ins share.
