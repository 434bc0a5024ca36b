//! Stand-ins for the systems around the daemons, for tests, measurements and the first run.
