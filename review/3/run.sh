#!/usr/bin/env bash
# An operator sends a configuration that cannot be read whole. TROUBLE=0: a valid one instead. See
# claim.txt. Exits with 1 if the rule Fault was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/unreadable ] || { echo "run review/build.sh first" >&2; exit 2; }
exec timeout --foreground -k 5 110 review/bin/unreadable . review/3/record.txt
