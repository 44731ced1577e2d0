//! State dump of the process: one JSON section for each component.

use std::cell;
use std::rc;

type Source = Box<dyn Fn() -> serde_json::Value>;

/// The sections of the dump, sorted by name; clones share them.
#[derive(Clone, Default)]
pub struct Dump {
    sections: rc::Rc<cell::RefCell<Vec<Section>>>,
}

struct Section {
    name: &'static str,
    source: Source,
}

impl Dump {
    /// Adds a section whose content `source` returns on each request.
    pub fn add<T, F>(&self, name: &'static str, source: F)
    where
        T: serde::Serialize,
        F: Fn() -> T + 'static,
    {
        let source: Source = Box::new(move || {
            // Sections are plain data, whose serialization fails only on non-text keys.
            serde_json::to_value(source()).unwrap_or_default()
        });
        let mut sections = self.sections.borrow_mut();
        let place = sections.partition_point(|section| section.name < name);
        sections.insert(place, Section { name, source });
    }

    /// The whole state as one JSON object.
    #[must_use]
    pub fn collect(&self) -> serde_json::Value {
        let sections = self.sections.borrow();
        let pairs = sections
            .iter()
            .map(|section| (section.name.to_owned(), (section.source)()));
        serde_json::Value::Object(pairs.collect())
    }
}
