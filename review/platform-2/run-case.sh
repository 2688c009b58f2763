#!/bin/sh
# run-case.sh CASE FOLDER: plays a case and ends all that it started. Exit code 0: the rule held; 1: it was
# broken; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-platform
if [ ! -x "$program" ] || [ ! -x target/release/dahliapoint ]; then
    echo "not built: run the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
stand_in=
finish() {
    for pid in $stand_in $(cat "$REVIEW_TMP/pid" 2>/dev/null); do
        kill -9 "$pid" 2>/dev/null
    done
    rm -rf "$REVIEW_TMP"
}
trap 'finish; exit 2' INT TERM HUP
"$program" "$1" "$2" &
stand_in=$!
wait "$stand_in"
code=$?
stand_in=
finish
[ "$code" -le 1 ] || code=2
exit "$code"
