//! Stand-ins and cases of the review, part two of the folders: `standins CASE FOLDER` plays the case and writes
//! `record.txt` to the folder. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case couldn't
//! run. With `TROUBLE=0` the disruption is left out.

mod client;
mod fleet;
mod hang_crash;
mod http;
mod json;
mod leaving_crash;
mod proxy;
mod runner;
mod silent_store;
mod slow_reader;
mod store;

use fleet::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new();
    record.add(format!("case {case}, trouble {trouble}"));
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "hang-crash" => hang_crash::play(&record, trouble),
        "leaving-crash" => leaving_crash::play(&record, trouble),
        "silent-store" => silent_store::play(&record, trouble),
        "slow-reader" => slow_reader::play(&record, trouble),
        _ => fleet::cannot_run("no such case"),
    });
    let code = match played {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    record.add(format!("exit code {code}"));
    record.save(folder);
    std::process::exit(code);
}
