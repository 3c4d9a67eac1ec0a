#!/usr/bin/env bash
# The stand-ins of the third review (review/standins-3) are Python programs: nothing to compile, they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins-3/*.py 1[1-5]/*.py <<'CHECK'
import ast, pathlib, sys
for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        ast.parse(pathlib.Path(name).read_text(), name)
CHECK
