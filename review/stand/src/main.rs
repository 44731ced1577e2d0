//! Runs a script of the review: `review-stand CASE RECORD`.

mod cases;
mod fleet;
mod http;
mod json;
mod store;

use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, file] = arguments.as_slice() else {
        eprintln!("review-stand CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = fleet::Record::new();
    let verdict = match case.as_str() {
        "pipelined" => cases::pipelined::run(&record, trouble),
        "endless" => cases::endless::run(&record, trouble),
        "restored" => cases::restored::run(&record, trouble),
        "soak" => cases::soak::run(&record, trouble),
        "handover" => cases::handover::run(&record, trouble),
        _ => Err(std::io::ErrorKind::NotFound.into()),
    };
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Ok(Verdict::NotRun) => ("the case could not run".to_owned(), 2),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.add(&text);
    println!("{text}");
    record.write(file);
    ExitCode::from(code)
}
