#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/firwheel ] && [ -f review/platform/target/Removals.class ] || { echo "build first"; exit 2; }
timeout 115 java -Xmx256m -cp review/platform/target Removals "$PWD/review/3/record.txt" &
driver=$!
trap 'kill "$driver" 2>/dev/null' INT TERM
wait "$driver"
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
