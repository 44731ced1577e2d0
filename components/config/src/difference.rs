//! Differences between two configurations.

use std::fmt;

use compact_str::CompactString;

use crate::Snapshot;

units::record! { eq:
    /// A resource that differs between two configurations.
    pub struct Difference {
        /// Kind of the resource: `service`, `route` or `workspace`.
        pub kind: &'static str,
        /// Name of the resource.
        pub name: CompactString,
        /// How it differs.
        pub change: Direction,
    }

    /// How a resource differs in a newer configuration.
    #[derive(Copy)]
    pub enum Direction {
        /// Only the newer configuration has it.
        Added,
        /// Only the older configuration has it.
        Removed,
        /// Both have it, with other content.
        Changed,
    }
}

impl Difference {
    /// The resources of `new` that differ from those of `old`, by kind.
    #[must_use]
    pub fn between(old: &Snapshot, new: &Snapshot) -> Vec<Self> {
        let mut found = Vec::new();
        let (held, wanted) = (old.services(), new.services());
        compare("service", held, wanted, |one| &one.name, &mut found);
        let (held, wanted) = (old.routes(), new.routes());
        compare("route", held, wanted, |one| &one.name, &mut found);
        let (held, wanted) = (old.workspaces(), new.workspaces());
        compare("workspace", held, wanted, |one| &one.name, &mut found);
        found
    }
}

/// Adds what differs between two lists that are sorted by name.
fn compare<T: PartialEq>(
    kind: &'static str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &CompactString,
    found: &mut Vec<Difference>,
) {
    let find = |list: &[T], wanted: &CompactString| {
        let index = list.binary_search_by(|one| name(one).cmp(wanted));
        index.ok()
    };
    let mut add = |one: &T, change| {
        let name = name(one).clone();
        found.push(Difference { kind, name, change });
    };
    for one in new {
        match find(old, name(one)) {
            None => add(one, Direction::Added),
            Some(index) if old[index] != *one => add(one, Direction::Changed),
            Some(_) => {}
        }
    }
    for one in old {
        if find(new, name(one)).is_none() {
            add(one, Direction::Removed);
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            Direction::Added => '+',
            Direction::Removed => '-',
            Direction::Changed => '~',
        };
        write!(formatter, "{sign} {} {}", self.kind, self.name)
    }
}
