#!/usr/bin/env bash
# The store tells watches nothing for a second while a key is taken away, and is then down for 4.5 s.
# TROUBLE=0 does the same without the disruption, and must pass.
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in 0 | 1) ;; *) echo "TROUBLE is 0 or 1, not $TROUBLE"; exit 2 ;; esac
exec bash "$(dirname "$0")/../run-case.sh" outage "$(dirname "$0")" "$TROUBLE"
