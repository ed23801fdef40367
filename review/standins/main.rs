//! Runs one case of the review: `review-driver CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod caller;
mod fleet;
mod http;
mod json;
mod poison;
mod power_loss;
mod record;
mod replaced;
mod retries;
mod runner;
mod store;

use std::{path::Path, process::ExitCode, sync::Arc};

use record::Record;

/// Result of a case: whether the rule was broken, or why the case couldn't run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-driver CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(Path::new(&folder)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{folder}: {e}");
            return ExitCode::from(2);
        }
    };
    record.say(format!("case {case}, disruption {trouble}"));
    let outcome = match case.as_str() {
        "power-loss" => power_loss::run(&record, trouble),
        "replaced" => replaced::run(&record, trouble),
        "retries" => retries::run(&record, trouble),
        "poison" => poison::run(&record, trouble),
        _ => Err("no such case".to_owned()),
    };
    match outcome {
        Ok(true) => {
            record.say("the rule was BROKEN");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Err(e) => {
            record.say(format!("the case couldn't run: {e}"));
            ExitCode::from(2)
        }
    }
}
