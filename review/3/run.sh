#!/usr/bin/env bash
# One of two machines is removed with SIGTERM; then the store is silent to the other one while a key is taken away.
exec bash "$(dirname "$0")/../run-case.sh" revoke "$(dirname "$0")"
