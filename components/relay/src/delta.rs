//! Values of objects as compressed deltas.

use platform::Revision;

units::record! { eq:
    /// A value of an object, compressed as the difference to an earlier value.
    pub struct Delta {
        /// Revision of the earlier value; `None` if the delta holds the full value.
        pub base: Option<Revision>,
        /// Revision of the value.
        pub revision: Revision,
        /// Uncompressed size of the value in bytes.
        pub size: usize,
        /// The value, compressed with the earlier value as the dictionary.
        pub compressed: Vec<u8>,
    }
}

impl Delta {
    /// Compression level; lower levels find too few matches in a large earlier value.
    const LEVEL: i32 = 3;
    /// Largest size in bytes of a value that is decompressed.
    const SIZE_LIMIT: usize = 64 * 1024 * 1024;

    /// Creates the delta from `base` to `value`; `None` if the compression fails.
    #[must_use]
    pub fn new(base: Option<(Revision, &[u8])>, revision: Revision, value: &[u8]) -> Option<Self> {
        let dictionary = base.map_or(&[][..], |base| base.1);
        let mut compressor =
            zstd::bulk::Compressor::with_dictionary(Self::LEVEL, dictionary).ok()?;
        let mut compressed = compressor.compress(value).ok()?;
        // The compressor reserves the size of a value that does not compress, and a feed keeps many deltas.
        compressed.shrink_to_fit();
        Some(Self {
            base: base.map(|base| base.0),
            revision,
            size: value.len(),
            compressed,
        })
    }

    /// Decompresses the value, with the earlier value `base`; `None` if the data is malformed or too large.
    #[must_use]
    pub fn decompress(&self, base: &[u8]) -> Option<Vec<u8>> {
        let dictionary = if self.base.is_some() { base } else { &[] };
        if self.size > Self::SIZE_LIMIT {
            return None;
        }
        let mut decompressor = zstd::bulk::Decompressor::with_dictionary(dictionary).ok()?;
        let value = decompressor.decompress(&self.compressed, self.size).ok()?;
        (value.len() == self.size).then_some(value)
    }
}
