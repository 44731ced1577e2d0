//! What an answer says of the rate that its backend server takes.

/// What an answer says of the rate that its backend server takes from all callers together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Named {
    /// It names none.
    #[default]
    Nothing,
    /// Requests a second, zero or more.
    Rate(units::Rate),
    /// It names one that cannot be read.
    Unreadable,
}

impl Named {
    /// Highest rate; a higher one counts as this one, which binds nobody.
    pub const MOST: units::Rate = units::Rate(1e6);

    /// Reads the values that the answer gives, each a decimal number or several between commas.
    ///
    /// Of several the lowest counts. One that is negative, infinite or no number makes all unreadable,
    /// since it may have been the lowest.
    #[must_use]
    pub fn read<'v>(values: impl Iterator<Item = Option<&'v str>>) -> Self {
        let mut named = Self::Nothing;
        for value in values {
            let Some(text) = value else {
                return Self::Unreadable;
            };
            for one in text.split(',') {
                let Some(rate) = read_one(one) else {
                    return Self::Unreadable;
                };
                named = match named {
                    Self::Rate(held) if held <= rate => named,
                    _ => Self::Rate(rate),
                };
            }
        }
        named
    }
}

fn read_one(text: &str) -> Option<units::Rate> {
    let number: f64 = text.trim().parse().ok()?;
    let usable = number.is_finite() && number >= 0.0;
    usable.then(|| units::Rate(number.min(Named::MOST.0)))
}
