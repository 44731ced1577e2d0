//! `check`: reviews a file before it is sent.

use config::{Applied, Findings, Refusal, Review, Snapshot};
use error_stack::Report;

use super::{Context, read};
use crate::console::Console;
use crate::document::Document;
use crate::view::{Checked, Difference};
use crate::{Exit, Failure};

pub(super) async fn run(context: &Context, document: &Document) -> Result<Exit, Report<Failure>> {
    let held = read::snapshot(context).await?;
    Ok(show(context.console, document, &held))
}

/// Prints the check of `document` against `held`, and returns the exit code.
pub(super) fn show(console: Console, document: &Document, held: &Snapshot) -> Exit {
    let checked = check(document, held);
    console.show(&checked);
    checked.exit()
}

/// Checks what `held` becomes by `document`.
fn check(document: &Document, held: &Snapshot) -> Checked {
    let difference = Difference::between(document, held);
    match held.apply(&document.change(units::Operation::random())) {
        Ok(Applied::Accepted(next)) => Checked::valid(&Review::new(&next), difference),
        // The operation is new, so that it cannot have been accepted before.
        Ok(Applied::Repeated(_)) => Checked::valid(&Review::default(), difference),
        Err(Refusal::Invalid(findings) | Refusal::Conflict(findings)) => {
            Checked::invalid(&locate(document, &findings), difference)
        }
    }
}

fn locate(document: &Document, findings: &Findings) -> Findings {
    document.locate(&config::encode_findings(findings))
}
