//! Identifier of a data centre.

crate::record::identifier!(
    /// Identifier of a data centre.
    DataCentre,
    "a data centre: 1 to 128 letters, digits, `-`, `_` or `.`"
);
