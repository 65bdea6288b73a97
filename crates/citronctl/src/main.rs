//! Runs one command of the operators' command line.

use std::{env, io::Write, process::ExitCode};

use citronctl::{Code, Settings, run};

fn main() -> ExitCode {
    let settings = match Settings::read(env::args_os().skip(1), |name| env::var(name).ok()) {
        Ok(Ok(settings)) => settings,
        Ok(Err(text)) => return print(&text, Code::Done),
        Err(error) => {
            eprintln!("citronctl: {error}");
            return Code::Usage.into();
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("citronctl: cannot start: {error}");
            return Code::Failed.into();
        }
    };
    let output = runtime.block_on(run(&settings));
    if let Some(problem) = &output.problem {
        eprintln!("citronctl: {problem}");
    }
    print(&output.text, output.code)
}

fn print(text: &str, code: Code) -> ExitCode {
    // A reader such as `head` may close the pipe early; that is not an error.
    let _ = std::io::stdout().write_all(text.as_bytes());
    code.into()
}
