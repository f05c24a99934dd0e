#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit codes: 0 held, 1 broken, 2 could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/cases ] && [ -x target/src/app/trefoilshelf ] || exit 2
exec timeout -s KILL 120 target/review/cases late-record "$folder"
