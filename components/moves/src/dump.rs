//! State of the service for the dump of the process.

use serde::Serialize;

use crate::shared::Shared;
use crate::{Alarm, Record};

/// State of the moves service for the dump of the process.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// All moves that the node knows, with the revisions of their objects.
    pub moves: Vec<(platform::Revision, Record)>,
    /// Alarms of moves that have not ended.
    pub alarms: Vec<Alarm>,
    /// Services and versions that the node withholds.
    pub withheld: Vec<(String, String)>,
    /// Services, versions and the number of backend servers on which their shares are concentrated.
    pub focus: Vec<(String, String, usize)>,
    /// Ids of the moves whose evidence this node holds as their runner.
    pub runs: Vec<String>,
    /// Counts since the start of the process.
    pub counts: crate::CounterSnapshot,
}

impl Dump {
    pub(crate) fn of<S, L>(shared: &Shared<S, L>) -> Self
    where
        S: platform::Store,
        L: peer::Link,
    {
        let catalogue = shared.catalogue.borrow();
        let entries = catalogue.entries().iter();
        let moves = entries.map(|entry| (entry.revision, entry.record.as_ref().clone()));
        let withheld = shared.parts.withheld.list().into_iter();
        let focus = shared.parts.focus.list().into_iter();
        let runs = shared.runs.borrow();
        Self {
            moves: moves.collect(),
            alarms: catalogue.alarms().to_vec(),
            withheld: withheld
                .map(|pair| (pair.0.into(), pair.1.into()))
                .collect(),
            focus: focus
                .map(|entry| (entry.0.into(), entry.1.into(), entry.2))
                .collect(),
            runs: runs.iter().map(|run| run.id.to_string()).collect(),
            counts: shared.tally.snapshot(),
        }
    }
}
