#!/usr/bin/env bash
# Runs clang-tidy over all translation units, or over the files given as arguments. The build
# folder is ./build unless POMELOSPAR_BUILD names another one.
#
# A file whose preprocessed text and .clang-tidy did not change since its last clean run is passed
# over; the stamps are kept in the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."

build="${POMELOSPAR_BUILD:-build}"
stamps="$build/lint"
mkdir -p "$stamps"

lint_file() {
  local file="$1" build="$2" stamps="$3" key
  key="$( (cat .clang-tidy "$file"; clang-tidy --version; python3 meta/preprocess.py "$build" "$file") |
    sha256sum | cut -d' ' -f1)"
  [ -e "$stamps/$key" ] && return 0
  clang-tidy --quiet -p "$build" "$file" 2> >(grep -v 'warnings generated' >&2) && touch "$stamps/$key"
}
export -f lint_file

if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -d '' files < <(git ls-files -z --cached --others --exclude-standard '*.cc')
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "$(nproc)" bash -c 'lint_file "$2" "$0" "$1"' "$build" "$stamps"
echo "lint: ${#files[@]} files clean"
