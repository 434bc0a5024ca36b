#!/usr/bin/env bash
# One of two machines is removed with SIGTERM; then the store is silent to the other one while a key is taken away.
# TROUBLE=0 does the same without the disruption, and must pass.
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in 0 | 1) ;; *) echo "TROUBLE is 0 or 1, not $TROUBLE"; exit 2 ;; esac
exec bash "$(dirname "$0")/../run-case.sh" revoke "$(dirname "$0")" "$TROUBLE"
