#!/bin/sh
# Plays the case against the built controller; review/build.sh builds the stand-in first.
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
standin=target/review/release/review-standin
[ -x "$standin" ] && [ -x target/release/dahliapoint ] || { echo "not built" >&2; exit 2; }
exec "$standin" join "$folder"
