pub mod endless;
pub mod pipelined;
