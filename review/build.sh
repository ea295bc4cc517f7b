#!/usr/bin/env bash
# Builds the stand-ins of the cases under review/out/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/out
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers)
libs=(-lcpprest -lboost_system -lssl -lcrypto -lpthread)
g++ "${flags[@]}" -c review/tools/site.cc -o review/out/site.o
for case in review/[0-9]/case.cc; do
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" review/out/site.o -o "review/out/case-$number" "${libs[@]}"
done
echo "built: $(ls review/out | tr '\n' ' ')"
