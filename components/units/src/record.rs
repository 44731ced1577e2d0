//! Macros for common derives and for identifiers.

/// Gives each type in it the derives that plain data has here: `Debug`, `Clone`, `PartialEq`.
///
/// `record! { eq: ... }` adds `Eq`, `PartialOrd`, `Ord` and `Hash`.
#[macro_export]
macro_rules! record {
    (eq: $($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )+
    };
    ($($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq)]
            $item
        )+
    };
}

/// Defines an identifier: short text of letters, digits, `-`, `_` and `.`.
macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "compact_str::CompactString")]
        pub struct $name(compact_str::CompactString);

        impl $name {
            /// Longest identifier in bytes.
            pub const MAX_BYTES: usize = 128;

            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
                let fits = !text.is_empty() && text.len() <= Self::MAX_BYTES;
                if fits && text.bytes().all(allowed) {
                    Ok(Self(text.into()))
                } else {
                    Err($crate::Error::new(text, $expected))
                }
            }
        }

        impl TryFrom<compact_str::CompactString> for $name {
            type Error = $crate::Error;

            fn try_from(text: compact_str::CompactString) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl schemars::JsonSchema for $name {
            fn schema_name() -> std::borrow::Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
                schemars::json_schema!({
                    "type": "string",
                    "description": $expected,
                    "x-expected": $expected,
                    "pattern": "^[A-Za-z0-9_.-]{1,128}$"
                })
            }
        }
    };
}

/// Implements serde and schema through `Display` and `FromStr` for a unit that is text in settings.
macro_rules! textual {
    ($name:ident, $expected:literal, $pattern:literal) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(
                deserializer: D,
            ) -> Result<Self, D::Error> {
                let text = <compact_str::CompactString as serde::Deserialize>::deserialize(
                    deserializer,
                )?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }

        impl schemars::JsonSchema for $name {
            fn schema_name() -> std::borrow::Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
                schemars::json_schema!({
                    "type": "string",
                    "description": $expected,
                    "x-expected": $expected,
                    "pattern": $pattern
                })
            }
        }
    };
}

pub(crate) use identifier;
pub(crate) use textual;
