#!/usr/bin/env bash
# An operator sends configurations that cannot be read whole. TROUBLE=0: valid ones instead. See
# claim.txt. Exits with 1 if CONFIG or Fault was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/unreadable ] && [ -x target/bin/pumicedyke-control ] || review/build.sh >&2 || exit 2
exec timeout --foreground -k 5 110 review/bin/unreadable . review/3/record.txt
