//! Command-line tool for operators.

use std::{
    io,
    process::ExitCode, //
};

use cuminloom::admin::ctl;

fn main() -> ExitCode {
    let token = std::env::var(ctl::TOKEN_ENV).ok();
    let (mut out, mut err) = (io::stdout(), io::stderr());
    ExitCode::from(ctl::run(std::env::args_os(), token, &mut out, &mut err).code())
}
