//! Identifier of an operation.

use rand::Rng;

crate::record::identifier!(
    /// Identifier of an operator's operation, chosen by the client.
    Operation,
    "an operation id: 1 to 128 letters, digits, `-`, `_` or `.`"
);

impl Operation {
    /// Draws a new id of 128 random bits.
    #[must_use]
    pub fn random() -> Self {
        let bits: u128 = rand::rng().random();
        Self(compact_str::format_compact!("{bits:032x}"))
    }
}
