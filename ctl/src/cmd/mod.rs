//! The commands, one file each.

mod apply;
mod check;
mod diff;
mod dump;
mod explain;
mod moves;
mod operation;
mod read;
mod status;

use std::env;
use std::fs;
use std::path;

use clap::ArgMatches;
use config::Snapshot;
use error_stack::Report;

use crate::console::{Console, Format};
use crate::document::Document;
use crate::{Client, Exit, Failure};

/// What every command needs.
struct Context {
    client: Client,
    console: Console,
}

/// Runs the command of the parsed command line.
///
/// # Errors
/// See [`Failure`].
pub(crate) async fn run(matches: &ArgMatches) -> Result<Exit, Report<Failure>> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Err(usage("a command is missing"));
    };
    let globals = innermost(arguments);
    if name == "explain" {
        return explain::run(console(globals)?, arguments);
    }
    let token = token(globals)?;
    let document = match name {
        "apply" | "check" | "diff" => {
            Some(Document::load(one::<path::PathBuf>(arguments, "file")?)?)
        }
        _ => None,
    };
    if name == "move" {
        moves::check(arguments)?;
    }
    if globals.get_flag("check") {
        return Ok(Exit::Done);
    }
    if let ("check", Some(document)) = (name, &document)
        && arguments.get_flag("offline")
    {
        return Ok(check::show(
            console(globals)?,
            document,
            &Snapshot::default(),
        ));
    }
    let context = Context {
        client: Client::open(node(name, globals)?, token.as_deref()).await?,
        console: console(globals)?,
    };
    match (name, document) {
        ("apply", Some(document)) => apply::run(&context, arguments, &document).await,
        ("check", Some(document)) => check::run(&context, &document).await,
        ("diff", Some(document)) => diff::run(&context, &document).await,
        ("status", _) => status::run(&context, arguments).await,
        ("operation", _) => operation::run(&context, arguments).await,
        ("read", _) => read::run(&context).await,
        ("dump", _) => dump::run(&context).await,
        ("move", _) => moves::run(&context, arguments).await,
        _ => Err(usage(&format!("unknown command `{name}`"))),
    }
}

/// The arguments of the innermost command, which hold the global ones wherever they stand.
fn innermost(mut arguments: &ArgMatches) -> &ArgMatches {
    while let Some((_, inner)) = arguments.subcommand() {
        arguments = inner;
    }
    arguments
}

/// The node to call; `dump` may name it by its own argument.
fn node(name: &str, arguments: &ArgMatches) -> Result<units::Address, Report<Failure>> {
    let named = match name {
        "dump" => arguments.get_one("of"),
        _ => None,
    };
    match named {
        Some(address) => Ok(*address),
        None => one(arguments, "node").copied(),
    }
}

fn console(arguments: &ArgMatches) -> Result<Console, Report<Failure>> {
    let format = match one::<String>(arguments, "output")?.as_str() {
        "json" => Format::Json,
        _ => Format::Table,
    };
    Ok(Console { format })
}

/// The token of the file, else that of the environment.
fn token(arguments: &ArgMatches) -> Result<Option<String>, Report<Failure>> {
    let Some(file) = arguments.get_one::<path::PathBuf>("token-file") else {
        return Ok(env::var("RADISHGAP_OPERATOR_TOKEN").ok());
    };
    match fs::read_to_string(file) {
        Ok(text) => Ok(Some(text.trim().to_owned())),
        Err(error) => Err(Report::new(Failure::Unreadable {
            file: file.clone(),
            problem: error.to_string(),
        })),
    }
}

/// An argument that the command line requires or gives a default.
fn one<'a, T: Clone + Send + Sync + 'static>(
    arguments: &'a ArgMatches,
    name: &str,
) -> Result<&'a T, Report<Failure>> {
    let value = arguments.get_one(name);
    value.ok_or_else(|| usage(&format!("`{name}` is missing")))
}

/// The id of the operation, drawn at random where the command names none.
fn operation_id(arguments: &ArgMatches) -> units::Operation {
    let named: Option<&units::Operation> = arguments.get_one("operation");
    named.cloned().unwrap_or_else(units::Operation::random)
}

fn usage(text: &str) -> Report<Failure> {
    Report::new(Failure::Usage(text.to_owned()))
}
