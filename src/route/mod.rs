//! Queues, target choice, limits, retries and strikes.
