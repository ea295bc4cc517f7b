#!/usr/bin/env bash
# Formats every C++ file in place, or with --check only reports files that differ from the format.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[[ "${1:-}" == --check ]] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard 'packages/*.h' 'packages/*.cc' 'platform/*.h' 'platform/*.cc' 'testing/*.cc' | grep -v '/generated/' |
  xargs -r clang-format "${mode[@]}"
