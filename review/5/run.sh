#!/usr/bin/env bash
# Another writer stores an entry of kind servers that names no target to use.
# The limit on address space only protects a machine on which 64 GiB could be had; the processes use some MB of it.
ulimit -v 8388608
exec bash "$(dirname "$0")/../run-case.sh" odd-entry "$(dirname "$0")"
