pub mod endless;
pub mod handover;
pub mod soak;
pub mod pipelined;
