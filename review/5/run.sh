#!/usr/bin/env bash
# Another writer stores an entry of kind servers that names no target to use.
# TROUBLE=0 does the same without the disruption, and must pass.
# The limit on address space only protects a machine on which 64 GiB could be had; the processes use some MB of it.
ulimit -v 8388608
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in 0 | 1) ;; *) echo "TROUBLE is 0 or 1, not $TROUBLE"; exit 2 ;; esac
exec bash "$(dirname "$0")/../run-case.sh" odd-entry "$(dirname "$0")" "$TROUBLE"
