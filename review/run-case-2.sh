#!/bin/sh
# run-case-2.sh CASE FOLDER: runs a case of review-2 with the record in FOLDER, and ends what it started. Needs the build of
# deploy/system.toml and review/build-2.sh.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-2/review-2 ] && [ -x target/release/coltsfootkeel-entry ] || exit 2
REVIEW_SCRATCH=$(mktemp -d) || exit 2
export REVIEW_SCRATCH
clean_up() {
  # After a whole run the processes have ended already.
  if [ "${result:-2}" -gt 1 ] && [ -f "$REVIEW_SCRATCH/pids" ]; then
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$REVIEW_SCRATCH/pids"
  fi
  rm -rf "$REVIEW_SCRATCH"
}
trap clean_up EXIT
timeout -k 5 110 target/review-2/review-2 "$1" "$folder"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
