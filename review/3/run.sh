#!/bin/sh
# TROUBLE=0 leaves out the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 -B "$(dirname "$0")/case.py"
