#!/usr/bin/env bash
# Usage: Meta/check-models.sh [MODEL.pml ...]
# Checks all models in Specifications, or the given ones, with an exhaustive
# Spin search; an incomplete search counts as a failure. A model lists its
# variants in comment lines:
#   // check: [-DNAME ...] expect=pass|fail
# A variant with expect=fail must violate an assertion or a claim; running out
# of memory or time does not count.
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT="$PWD"
MEMORY_MB=1500
DEPTH=1000000
# Time limit of one variant. More than ten times the duration of the longest
# variant, so that a loaded machine does not change the result.
SECONDS_EACH=150
WORK="$(mktemp -d)"
trap 'rm -rf "$WORK"' EXIT

# Prints the result of the verifier: pass, fail or why it is undecided.
verdict() {
  local report="$1"
  if grep -q 'max search depth too small\|out of memory\|memory limit' "$report"; then
    echo "undecided: the search was incomplete"
  elif grep -q '^pan:[0-9]*: \(assertion violated\|acceptance cycle\|non-progress cycle\|claim violated\|invalid end state\|end state in claim reached\)' "$report"; then
    echo fail
  elif grep -q 'errors: 0' "$report"; then
    echo pass
  else
    echo "undecided: the verifier reported no result"
  fi
}

check() {
  local model="$1" expected="$2" folder found report
  shift 2
  folder="$(mktemp -d -p "$WORK")"
  report="$folder/report"
  : >"$report"
  (
    cd "$folder"
    spin -a "$@" "$model" >spin.txt 2>&1 || { cat spin.txt; exit 1; }
    gcc -O2 -w -DSAFETY -DMEMLIM="$MEMORY_MB" "$@" -o pan pan.c
    timeout "$SECONDS_EACH" ./pan -m"$DEPTH" >report 2>&1 || true
  )
  found="$(verdict "$report")"
  printf '%-24s %-26s expected %s, found %s, %s states\n' "$(basename "$model")" \
    "${*:-(as designed)}" "$expected" "$found" \
    "$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$report" | head -n 1)"
  [ "$found" = "$expected" ]
}

[ "$#" -gt 0 ] || set -- Specifications/*.pml
failures=0
for model in "$@"; do
  variants="$(sed -n 's|^// check: *||p' "$model")"
  case "$variants" in
  *expect=pass*expect=fail* | *expect=fail*expect=pass*) ;;
  *)
    echo "$model: must list a variant with expect=pass and one with expect=fail"
    failures=$((failures + 1))
    ;;
  esac
  while IFS= read -r variant; do
    [ -n "$variant" ] || continue
    expected="${variant##*expect=}"
    read -ra options <<<"${variant%expect=*}"
    check "$ROOT/$model" "$expected" "${options[@]}" || failures=$((failures + 1))
  done <<<"$variants"
done
[ "$failures" -eq 0 ]
