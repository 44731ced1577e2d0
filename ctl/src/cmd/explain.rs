//! `explain`: tells what became of one request, from log lines.

use std::fs;
use std::io;
use std::path;

use clap::ArgMatches;
use error_stack::Report;

use super::one;
use crate::console::Console;
use crate::story::Story;
use crate::{Exit, Failure};

pub(super) fn run(console: Console, arguments: &ArgMatches) -> Result<Exit, Report<Failure>> {
    let id = one::<String>(arguments, "id")?;
    let files = arguments.get_many::<path::PathBuf>("files");
    let mut sources: Vec<Box<dyn io::BufRead>> = Vec::new();
    for file in files.into_iter().flatten() {
        let opened = fs::File::open(file).map_err(|error| unreadable(file, &error))?;
        sources.push(Box::new(io::BufReader::new(opened)));
    }
    if sources.is_empty() {
        sources.push(Box::new(io::BufReader::new(io::stdin())));
    }
    let story = Story::read(id, sources);
    let story = story.map_err(|error| unreadable(path::Path::new("the lines"), &error))?;
    console.show(&story);
    Ok(if story.lines.is_empty() {
        Exit::Failed
    } else {
        Exit::Done
    })
}

fn unreadable(file: &path::Path, error: &io::Error) -> Report<Failure> {
    Report::new(Failure::Unreadable {
        file: file.to_owned(),
        problem: error.to_string(),
    })
}
