//! Loopback addresses of a mesh, apart from those of other runs.

use std::net;
use std::process;

/// The block of loopback addresses `127.BLOCK.0.0/16` that one run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    block: u8,
}

/// Ports of the processes.
pub struct Ports;

impl Ports {
    /// Callers' port of a node.
    pub const CALLERS: u16 = 8000;
    /// Port of a relay in front of the callers' port of a node.
    pub const CALLERS_RELAY: u16 = 8001;
    /// Port of a node for requests of other nodes.
    pub const MESH: u16 = 7401;
    /// Port of a node for control messages.
    pub const PEER: u16 = 7402;
    /// Operator port of a node.
    pub const OPERATOR: u16 = 7403;
    /// Port of a node for announcements.
    pub const ANNOUNCE: u16 = 7404;
    /// Administration port of a node.
    pub const ADMIN: u16 = 7405;
    /// Port of the platform's object API.
    pub const PLATFORM: u16 = 7300;
    /// Control port of the platform stand-in.
    pub const PLATFORM_CONTROL: u16 = 7301;
    /// Port of a backend server.
    pub const BACKEND: u16 = 9000;
    /// Control port of a backend server.
    pub const BACKEND_CONTROL: u16 = 9001;
    /// Port of a relay in front of a backend server.
    pub const RELAY: u16 = 9002;
}

impl Addresses {
    /// First block; lower ones are left to programs started by hand.
    const FIRST: u8 = 64;
    /// Number of blocks.
    const BLOCKS: u32 = 128;
    /// Nodes in the third byte of an address.
    const ROW: usize = 250;
    /// Third byte of the platform's address.
    const PLATFORM_ROW: u8 = 255;

    /// Picks a block whose platform address is free.
    ///
    /// # Errors
    /// The error of the last attempt to bind it.
    pub fn free() -> std::io::Result<Self> {
        let mut last = None;
        for attempt in 0..Self::BLOCKS {
            let offset = (process::id() + attempt) % Self::BLOCKS;
            // Below 128.
            #[allow(clippy::cast_possible_truncation)]
            let block = Self::FIRST + offset as u8;
            let addresses = Self { block };
            match net::TcpListener::bind(addresses.platform(Ports::PLATFORM).0) {
                Ok(_) => return Ok(addresses),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrNotAvailable.into()))
    }

    /// Address of the platform with `port`.
    #[must_use]
    pub fn platform(self, port: u16) -> units::Address {
        self.address(Self::PLATFORM_ROW, 1, port)
    }

    /// Address of the VM number `index`, which a node and its backend server share, with `port`.
    #[must_use]
    pub fn vm(self, index: usize, port: u16) -> units::Address {
        // Fleets have at most a few hundred VMs.
        #[allow(clippy::cast_possible_truncation)]
        let (row, column) = ((index / Self::ROW) as u8, (index % Self::ROW) as u8 + 1);
        self.address(row, column, port)
    }

    fn address(self, row: u8, column: u8, port: u16) -> units::Address {
        let ip = net::Ipv4Addr::new(127, self.block, row, column);
        units::Address(net::SocketAddr::from((ip, port)))
    }
}
