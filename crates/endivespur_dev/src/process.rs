//! Starts and stops the project's own processes.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A running process that is killed when dropped.
pub struct Process {
    child: Child,
    /// The first line of its standard output.
    pub first_line: String,
}

impl Process {
    /// Starts a program and waits for the first line of its output; the rest goes to `log`.
    ///
    /// # Errors
    ///
    /// Returns a message if the program does not start or exits without printing a line.
    pub fn start(
        program: &PathBuf,
        arguments: &[&str],
        log: Option<&PathBuf>,
    ) -> Result<Self, String> {
        let log = log.map(File::create).transpose();
        let log = log.map_err(|error| error.to_string())?;
        let log_copy = log.as_ref().map(File::try_clone).transpose();
        let log_copy = log_copy.map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.map_or_else(Stdio::null, Stdio::from))
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let mut first_line = String::new();
        if let Some(output) = child.stdout.take() {
            let mut lines = BufReader::new(output);
            lines
                .read_line(&mut first_line)
                .map_err(|error| error.to_string())?;
            std::thread::spawn(move || copy_output(lines, log_copy));
        }
        let process = Self {
            child,
            first_line: first_line.trim().to_string(),
        };
        if process.first_line.is_empty() {
            return Err(format!(
                "{} {arguments:?} exited without printing a line",
                program.display()
            ));
        }
        Ok(process)
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns a message if the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .map_err(|error| error.to_string())?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| format!("cannot send SIG{name} to process {}", self.id()))
    }

    /// Waits for the process to exit; returns whether the exit code was 0.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
}

/// Copies a process's output to its log, or discards it, so that the pipe never fills up.
fn copy_output(mut lines: impl Read, log: Option<File>) {
    let result = match log {
        Some(mut log) => std::io::copy(&mut lines, &mut log),
        None => std::io::copy(&mut lines, &mut std::io::sink()),
    };
    if let Err(error) = result {
        eprintln!("cannot write a process's log: {error}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Builds the daemon and the tools in the profile of this program and returns their folder.
///
/// # Errors
///
/// Returns a message if the build fails.
pub fn build() -> Result<PathBuf, String> {
    let release = !cfg!(debug_assertions);
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_string());
    let mut command = Command::new(cargo);
    command.args([
        "build",
        "--quiet",
        "-p",
        "endivespurd",
        "-p",
        "endivespurctl",
        "-p",
        "endivespur_dev",
    ]);
    if release {
        command.arg("--release");
    }
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let status = command
        .current_dir(root)
        .status()
        .map_err(|error| error.to_string())?;
    if !status.success() {
        return Err("cargo build failed".to_string());
    }
    let target = std::env::var("CARGO_TARGET_DIR").unwrap_or_else(|_| format!("{root}/target"));
    Ok(PathBuf::from(target).join(if release { "release" } else { "debug" }))
}
