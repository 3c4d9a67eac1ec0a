#!/usr/bin/env bash
# Builds every stand-in that the scripts start. They are Python programs of the standard library alone, so this only
# checks that each of them compiles; nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [1-5]/*.py <<'P'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
print(f"build: {len(sys.argv) - 1} Python files compile")
P
