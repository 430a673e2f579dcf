//! `peargap`, the command line for operators.

use std::process;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    peargap_cli::run(arguments).await
}
