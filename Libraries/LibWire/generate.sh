#!/usr/bin/env bash
# Writes Generated/ anew from the schemas. Run after each change of a schema.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -oc++:Generated ./*.capnp
for file in Generated/*.capnp.c++; do
  mv "$file" "${file%.c++}.cpp"
done
# Keeps the warnings of the generated headers out of the codecs.
for file in Generated/*.capnp.h; do
  grep -q system_header "$file" || sed -i 's/^#pragma once$/#pragma once\n#pragma GCC system_header/' "$file"
done
