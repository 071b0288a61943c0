#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -Istandins)
g++ "${flags[@]}" -c standins/Harness.cc -o out/Harness.o
for source in [1-5]/Case.cc; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" out/Harness.o -o "out/case-${source%%/*}"
done
