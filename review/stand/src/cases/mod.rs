pub mod endless;
pub mod handover;
pub mod restored;
pub mod soak;
pub mod pipelined;
