//! Rate limit that a backend server advertises in an answer.

/// Rate limit, over all callers together, that a backend server advertises in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Advertised {
    /// The answer advertises no rate.
    #[default]
    None,
    /// Requests per second, zero or more.
    Rate(units::Rate),
    /// The advertised rate cannot be parsed.
    Unreadable,
}

impl Advertised {
    /// Highest rate; higher values are clamped to this one, which in practice limits nothing.
    pub const MAX: units::Rate = units::Rate(1e6);

    /// Parses the header values of an answer, each a comma-separated list of decimal numbers.
    ///
    /// The lowest number applies. A value that is negative, infinite or not a number makes the whole answer
    /// unreadable, since that value may have been the lowest.
    #[must_use]
    pub fn parse<'v>(values: impl Iterator<Item = Option<&'v str>>) -> Self {
        let mut lowest = Self::None;
        for value in values {
            let Some(text) = value else {
                return Self::Unreadable;
            };
            for item in text.split(',') {
                let Some(rate) = parse_rate(item) else {
                    return Self::Unreadable;
                };
                lowest = match lowest {
                    Self::Rate(current) if current <= rate => lowest,
                    _ => Self::Rate(rate),
                };
            }
        }
        lowest
    }
}

fn parse_rate(text: &str) -> Option<units::Rate> {
    let number: f64 = text.trim().parse().ok()?;
    let usable = number.is_finite() && number >= 0.0;
    usable.then(|| units::Rate(number.min(Advertised::MAX.0)))
}
