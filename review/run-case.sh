#!/usr/bin/env bash
# run-case.sh CASE FOLDER TROUBLE: runs a case of the harness, with the record in FOLDER/record.txt. TROUBLE is 1, or 0 for
# the same without the disruption.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
for program in target/release/coltsfootkeel-entry target/review/harness; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build.sh"
    exit 2
  fi
done
temporary=$(mktemp -d) || exit 2
clean_up() {
  # After a whole run the processes have ended already.
  if [ "${result:-2}" -gt 1 ] && [ -f "$temporary/pids" ]; then
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$temporary/pids"
  fi
  rm -rf "$temporary"
}
trap clean_up EXIT
timeout --kill-after=5 110 target/review/harness "$1" "$folder/record.txt" "$temporary" "$3"
result=$?
if [ "$result" -gt 1 ]; then
  tail -n 5 "$temporary"/*.log 2>/dev/null
  exit 2
fi
exit "$result"
