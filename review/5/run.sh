#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 runs it without the disruption.
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec python3 case.py
