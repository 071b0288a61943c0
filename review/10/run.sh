#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 leaves the disruption out.
FOLDER="$(cd "$(dirname "$0")" && pwd)"
cd "$FOLDER/../.." || exit 2
[ -x target/review-2/case-10 ] || { echo "run review/build-2.sh first"; exit 2; }
timeout -k 2 115 target/review-2/case-10 "$FOLDER/record.txt"
CODE=$?
[ "$CODE" -le 1 ] && exit "$CODE"
exit 2
