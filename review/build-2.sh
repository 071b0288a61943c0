#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases 6 to 10, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
SUPPORT=(review/standins-2/Fleet.cc review/standins-2/Http.cc)
for source in review/standins-2/Case*.cc; do
  name="$(basename "$source" .cc)"
  g++ -std=c++20 -O1 -Wall -Wextra "$source" "${SUPPORT[@]}" -pthread \
    -o "target/review-2/case-${name#Case}"
done
