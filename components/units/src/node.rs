//! Identifier of a node.

crate::record::identifier!(
    /// Identifier of a node, unique in the mesh and stable over restarts.
    Node,
    "a node id: 1 to 128 letters, digits, `-`, `_` or `.`"
);
