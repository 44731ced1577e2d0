//! Name of a service.

crate::record::identifier!(
    /// Name of a service of backend servers.
    Service,
    "a service name: 1 to 128 letters, digits, `-`, `_` or `.`"
);
