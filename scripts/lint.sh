#!/usr/bin/env bash
# Runs clang-tidy over the sources, or over the files named after the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
shift || true
files=("$@")
if ((${#files[@]} == 0)); then
  mapfile -t files < <(git ls-files 'packages/*.cc' 'platform/*.cc' | grep -v '/generated/')
fi
# The build's -Werror is lifted, because it would turn Clang's own -Wpedantic findings in library macros into
# errors; GCC already reports the compiler warnings.
printf '%s\n' "${files[@]}" |
  xargs -r -P "${LINT_JOBS:-8}" -n 2 clang-tidy -p "$build" --quiet --warnings-as-errors='*' --extra-arg=-Wno-error 2>/dev/null
echo "lint: ${#files[@]} files clean"
