//! Wallets and granters together, with failures, and no network.

mod failures;
mod fleet;
mod load;
mod random;
mod share;
