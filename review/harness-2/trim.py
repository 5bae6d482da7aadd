"""Leaves out of a record.txt the requests that broke no rule, so that it can be committed. Usage: trim.py RECORD NOTE"""

import re
import sys

path, note = sys.argv[1:]
lines = open(path).read().splitlines()
broken = {match.group(1) for line in lines if (match := re.search(r" broken: \w+: (\w+)", line))}
kept = [line[:300] for line in lines
        if not re.search(r" (client|[im]-[\w-]+): ", line) or any(attempt in line for attempt in broken)]
with open(path, "w") as file:
    file.write(f"({note}; requests that broke no rule are left out)\n" + "\n".join(kept) + "\n")
