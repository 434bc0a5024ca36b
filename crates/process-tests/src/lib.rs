//! Starts the programs of the workspace as child processes for tests.
