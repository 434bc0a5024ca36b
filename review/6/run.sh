#!/bin/sh
# A request that crashes its targets, and a planned restart of each entry instance.
# TROUBLE=0 does the same without the disruption, and must pass.
exec sh "$(dirname "$0")/../run-case-2.sh" poison "$(dirname "$0")"
