#!/usr/bin/env bash
# Another writer stores an entry of kind servers that names no target to use.
exec bash "$(dirname "$0")/../run-case.sh" odd-entry "$(dirname "$0")"
