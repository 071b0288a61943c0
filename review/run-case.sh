#!/usr/bin/env bash
# Runs the program of one case in the root of the repository. Exit status: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")/$1" && pwd)"
cd "$folder/../.." || exit 2
program="review/out/case-$1"
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout --signal=TERM --kill-after=2 118 "$program" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
