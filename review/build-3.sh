#!/bin/sh
# Builds the cases of the third review and their stand-ins into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
Flags="-std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-3"
for File in review/standins-3/*.cc; do
  # shellcheck disable=SC2086
  g++ $Flags -c "$File" -o "target/review-3/$(basename "$File" .cc).o"
done
for File in review/1[1-5]/Case.cc; do
  [ -e "$File" ] || continue
  Number=$(basename "$(dirname "$File")")
  # shellcheck disable=SC2086
  g++ $Flags "$File" target/review-3/*.o -o "target/review-3/case-$Number"
done
