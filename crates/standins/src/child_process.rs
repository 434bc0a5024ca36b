//! Child processes of the small fleet, ended by the ids they were started with.

use std::ffi::OsStr;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A child process that is killed and waited for when the value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with `arguments`; its output goes to the output of this process.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the program cannot be started.
    pub fn start<I, S>(name: &str, program: &Path, arguments: I) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null());
        Self::spawn(name, command)
    }

    /// Starts `program` with `arguments`; its standard output is discarded.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the program cannot be started.
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

    /// Starts `program` with `arguments`; its standard output is added to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the file cannot be written or the program cannot be started.
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

    /// Returns the name it was given.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns how it ended, or nothing while it runs.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if its state cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Errors mean that it has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program that lies beside the executable of this process. Test programs lie one folder deeper, in
/// `deps`.
///
/// # Errors
///
/// Returns an error if the executable of this process is unknown or the program is not there.
pub fn sibling_program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut path = own.with_file_name(name);
    let is_test = own.parent().is_some_and(|folder| folder.ends_with("deps"));
    if let (true, Some(programs)) = (is_test, own.ancestors().nth(2)) {
        path = programs.join(name);
    }
    if path.is_file() {
        return Ok(path);
    }
    let message = format!("{} not found", path.display());
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}
