#!/usr/bin/env bash
# A machine gets SIGTERM while a client sends the head of an order in two pieces, 0.3 s apart.
# TROUBLE=0 does the same without the disruption, and must pass.
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in 0 | 1) ;; *) echo "TROUBLE is 0 or 1, not $TROUBLE"; exit 2 ;; esac
exec bash "$(dirname "$0")/../run-case.sh" split-head "$(dirname "$0")" "$TROUBLE"
