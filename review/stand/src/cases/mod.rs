pub mod endless;
pub mod handover;
pub mod probe;
pub mod soak;
pub mod pipelined;
