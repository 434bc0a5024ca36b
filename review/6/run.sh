#!/bin/sh
# A request that crashes its targets, and a planned restart of each entry instance. Needs the build of deploy/system.toml
# and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/review-2 ] && [ -x target/release/coltsfootkeel-entry ] || exit 2
exec target/review-2/review-2 poison "$folder"
