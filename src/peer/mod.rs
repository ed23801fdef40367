//! Links between daemons, and membership.
