//! Exports the counts of the components as OpenTelemetry counters.

use std::cell;
use std::rc;

use opentelemetry::metrics::{Counter, Meter};

type Source = Box<dyn Fn() -> serde_json::Value>;

/// Copies the components' counts into instruments whenever metrics are read; clones share them.
#[derive(Clone)]
pub struct Exporter {
    metrics: rc::Rc<telemetry::Metrics>,
    state: rc::Rc<cell::RefCell<State>>,
}

struct State {
    meter: Meter,
    counts: Vec<Component>,
    /// Sorted by name.
    counters: Vec<Tracked>,
}

struct Component {
    name: &'static str,
    source: Source,
}

/// A counter and the value that was exported last.
struct Tracked {
    name: String,
    counter: Counter<u64>,
    exported: u64,
}

impl Exporter {
    /// An exporter without sources.
    #[must_use]
    pub fn new(metrics: telemetry::Metrics) -> Self {
        let state = State {
            meter: metrics.meter("radishgap"),
            counts: Vec::new(),
            counters: Vec::new(),
        };
        Self {
            metrics: rc::Rc::new(metrics),
            state: rc::Rc::new(cell::RefCell::new(state)),
        }
    }

    /// Adds counts that never fall; each whole number in them becomes a counter.
    pub fn add_counts<T, F>(&self, name: &'static str, source: F)
    where
        T: serde::Serialize,
        F: Fn() -> T + 'static,
    {
        let component = Component::new(name, source);
        self.state.borrow_mut().counts.push(component);
    }

    /// All metrics in the text format of Prometheus.
    ///
    /// # Errors
    /// As of [`telemetry::Metrics::text`].
    pub fn text(&self) -> Result<Vec<u8>, telemetry::Error> {
        self.state.borrow_mut().update();
        self.metrics.text()
    }
}

impl Component {
    fn new<T, F>(name: &'static str, source: F) -> Self
    where
        T: serde::Serialize,
        F: Fn() -> T + 'static,
    {
        let source: Source = Box::new(move || serde_json::to_value(source()).unwrap_or_default());
        Self { name, source }
    }

    /// The numbers of the component with their names.
    fn numbers(&self) -> Vec<(String, serde_json::Number)> {
        let mut numbers = Vec::new();
        let name = format!("radishgap.{}", self.name);
        flatten(&name, &(self.source)(), &mut numbers);
        numbers
    }
}

impl State {
    fn update(&mut self) {
        let counts: Vec<_> = self.counts.iter().flat_map(Component::numbers).collect();
        for (name, number) in counts {
            self.count(name, number.as_u64().unwrap_or_default());
        }
    }

    fn count(&mut self, name: String, value: u64) {
        let place = self.counters.binary_search_by(|one| one.name.cmp(&name));
        let place = place.unwrap_or_else(|place| {
            let counter = self.meter.u64_counter(name.clone()).build();
            let exported = 0;
            let tracked = Tracked {
                name,
                counter,
                exported,
            };
            self.counters.insert(place, tracked);
            place
        });
        let tracked = &mut self.counters[place];
        tracked
            .counter
            .add(value.saturating_sub(tracked.exported), &[]);
        tracked.exported = tracked.exported.max(value);
    }
}

/// Collects the numbers below `value`, named by their path.
fn flatten(name: &str, value: &serde_json::Value, numbers: &mut Vec<(String, serde_json::Number)>) {
    match value {
        serde_json::Value::Number(number) => numbers.push((name.to_owned(), number.clone())),
        serde_json::Value::Object(fields) => {
            for (key, field) in fields {
                flatten(&format!("{name}.{key}"), field, numbers);
            }
        }
        _ => {}
    }
}
