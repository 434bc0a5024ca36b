#!/usr/bin/env bash
# The store tells watches nothing for a second while a key is taken away, and is then down for 4.5 s.
exec bash "$(dirname "$0")/../run-case.sh" outage "$(dirname "$0")"
