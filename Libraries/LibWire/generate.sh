#!/usr/bin/env bash
# Regenerates Generated/ from the schemas. Run after each change of a schema.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -oc++:Generated ./*.capnp
for file in Generated/*.capnp.c++; do
  mv "$file" "${file%.c++}.cpp"
done
# Marks the generated headers as system headers, which suppresses their warnings
# in the codecs.
for file in Generated/*.capnp.h; do
  grep -q system_header "$file" || sed -i 's/^#pragma once$/#pragma once\n#pragma GCC system_header/' "$file"
done
