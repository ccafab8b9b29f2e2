#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js; nothing is compiled. Checks that each one can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
