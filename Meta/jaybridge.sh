#!/usr/bin/env bash
# Usage: Meta/jaybridge.sh build|format|lint|test|run|bench decisions|control|latency
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD="${JAYBRIDGE_BUILD_FOLDER:-build}"
JOBS="${JAYBRIDGE_JOBS:-$(nproc)}"

sources() { git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/Generated/'; }

build() {
  cmake -S . -B "$BUILD" -G Ninja >"$BUILD.configure.log" 2>&1 || { cat "$BUILD.configure.log"; exit 1; }
  rm -f "$BUILD.configure.log"
  cmake --build "$BUILD" -j "$JOBS"
}

check_format() { sources | xargs clang-format --dry-run -Werror; }

# Runs clang-tidy on all source files with the compile commands of the build.
lint() { sources | grep '\.cpp$' | xargs -P "$JOBS" -n 1 clang-tidy --quiet -p "$BUILD" 2>/dev/null; }

# Runs all tests except the known failures listed in KNOWN-RED.txt as
# "test: NAME", which are printed.
run_tests() {
  local arguments=(--test-dir "$BUILD" --output-on-failure -j "$JOBS")
  if [ -s KNOWN-RED.txt ]; then
    echo "Known failing tests, not run:"
    cat KNOWN-RED.txt
    local names
    names=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's/[].[^$*+?(){}|\\/]/\\&/g' | paste -sd'|')
    [ -n "$names" ] && arguments+=(-E "^($names)\$")
  fi
  ctest "${arguments[@]}"
}

case "${1:-}" in
build) build ;;
format) sources | xargs clang-format -i ;;
lint) build && lint ;;
test)
  build
  check_format
  lint
  run_tests
  ;;
bench)
  build
  case "${2:-}" in
  decisions)
    "$BUILD/Tests/Benchmarks/BenchGateway"
    "$BUILD/Tests/Scenarios/TestScenarios"
    ;;
  control) "$BUILD/Tests/Benchmarks/BenchControlSlopes" ;;
  latency) "$BUILD/Tests/Benchmarks/BenchFleetLatency" ;;
  *)
    echo "usage: Meta/jaybridge.sh bench decisions|control|latency" >&2
    exit 2
    ;;
  esac
  ;;
run)
  . Meta/dependencies.sh
  install_dependencies
  build
  exec Meta/run-fleet.sh
  ;;
*)
  sed -n '2s/^# //p' "$0"
  exit 2
  ;;
esac
