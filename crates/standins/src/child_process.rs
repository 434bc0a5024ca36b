//! Child processes of test and demonstration fleets. A child is killed through its handle and not by its name, so that
//! no other process is affected.

use std::ffi::OsStr;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A child process that is killed and reaped on drop.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with `arguments`. The child inherits standard output and standard error.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the program cannot be started.
    pub fn start<I, S>(name: &str, program: &Path, arguments: I) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null());
        Self::spawn(name, command)
    }

    /// Starts `program` with `arguments`. Its standard output is discarded.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the program cannot be started.
    pub fn start_quiet<I, S>(name: &str, program: &Path, arguments: I) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        Self::spawn(name, command)
    }

    /// Starts `program` with `arguments`. Its standard output is appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the file cannot be opened or the program cannot be started.
    pub fn start_logged<I, S>(
        name: &str,
        program: &Path,
        arguments: I,
        log: &Path,
    ) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log));
        Self::spawn(name, command)
    }

    fn spawn(name: &str, mut command: Command) -> io::Result<Self> {
        Ok(Self {
            name: name.to_owned(),
            child: command.spawn()?,
        })
    }

    /// Returns the name of the child in messages, which the caller chose at the start.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id of the child.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status of the child, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the state of the child cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // An error means that the child has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program in the folder of the current executable, or in its parent folder if the current
/// executable is a test program in `deps`.
///
/// # Errors
///
/// Returns an I/O error if the path of the current executable is unknown or the program does not exist.
pub fn sibling_program(name: &str) -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let mut path = current.with_file_name(name);
    let is_test = current
        .parent()
        .is_some_and(|folder| folder.ends_with("deps"));
    if let (true, Some(programs)) = (is_test, current.ancestors().nth(2)) {
        path = programs.join(name);
    }
    if path.is_file() {
        return Ok(path);
    }
    let message = format!("program {} not found", path.display());
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}
