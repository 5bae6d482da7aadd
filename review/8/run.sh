#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
CASE_FOLDER="${CASE_FOLDER:-$here}" python3 "$here/case.py" &
driver=$!
trap 'kill "$driver" 2>/dev/null' INT TERM
wait "$driver"
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
