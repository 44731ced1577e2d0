//! Cases of the review that are scripts: `stand-2 CASE FOLDER` runs one and writes `FOLDER/record.txt`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod upstream;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stand-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case    {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "new-service" => cases::new_service(&record, trouble),
        "poison" => cases::poison(&record, trouble),
        "plain-poison" => cases::plain_poison(&record, trouble),
        "short-stop" => cases::short_stop(&record, trouble),
        "other-writer" => cases::other_writer(&record, trouble),
        "left" => cases::left(&record, trouble),
        "first-config" => cases::first_config(&record, trouble),
        "all-replaced" => cases::all_replaced(&record, trouble),
        "short-success" => cases::short_success(&record, trouble),
        "last-tenant" => cases::last_tenant(&record, trouble),
        "tenant-name" => cases::tenant_name(&record, trouble),
        _ => {
            eprintln!("no case `{case}`");
            Ok(Verdict::NotRun)
        }
    };
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Ok(Verdict::NotRun) => ("the case could not run".to_owned(), 2),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&format!("end     {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
