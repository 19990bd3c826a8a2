#!/usr/bin/env bash
# Leafs that are at times full send a second copy of some answers, late, to requests of a mutating
# route. TROUBLE=0: they send none. See claim.txt. Exits with 1 if TWICE was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/mutating ] && [ -x target/bin/pumicedyke-control ] || review/build.sh >&2 || exit 2
exec timeout --foreground -k 5 110 review/bin/mutating . review/2/record.txt
