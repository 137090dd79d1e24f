#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 -B case.py
