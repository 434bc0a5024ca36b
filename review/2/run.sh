#!/usr/bin/env bash
# A machine gets SIGTERM while a client sends the head of an order in two pieces, 0.3 s apart.
exec bash "$(dirname "$0")/../run-case.sh" split-head "$(dirname "$0")"
