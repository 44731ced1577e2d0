//! Size in bytes.

use std::fmt;
use std::str;

use crate::Error;

/// Size in bytes, written with its unit, such as `64KiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(pub u64);

impl Size {
    /// The size as a length in memory.
    #[must_use]
    pub fn as_len(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = bytesize::ByteSize(self.0).display().iec().to_string();
        formatter.write_str(&text.replace(' ', ""))
    }
}

impl str::FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed: Result<bytesize::ByteSize, _> = text.parse();
        parsed
            .map(|size| Self(size.as_u64()))
            .map_err(|_| Error::new(text, "a size with its unit, such as `64KiB`"))
    }
}

crate::record::textual!(
    Size,
    "a size with its unit, such as `64KiB`",
    "^[0-9]+(\\.[0-9]+)? *(B|[kKMGT]i?B)$"
);
