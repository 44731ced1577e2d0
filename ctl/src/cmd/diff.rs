//! `diff`: compares a file with what the node holds.

use error_stack::Report;

use super::{Context, read};
use crate::document::Document;
use crate::view::Difference;
use crate::{Exit, Failure};

pub(super) async fn run(context: &Context, document: &Document) -> Result<Exit, Report<Failure>> {
    let held = read::snapshot(context).await?;
    let difference = Difference::between(document, &held);
    context.console.show(&difference);
    Ok(if difference.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    })
}
