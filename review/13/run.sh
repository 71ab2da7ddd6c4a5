#!/bin/sh
# BUDGET: a part that crashes servers over a second after they begin to answer is never stopped.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/standin-3/target/release/review-standin-3
if [ ! -x "$program" ] || [ ! -x "$root/target/release/anvilgw" ]; then
    echo "build the deploy file and run review/build-3.sh first" >&2
    exit 2
fi
PROCESSES=$(mktemp) || exit 2
export PROCESSES
"$program" late-crash "$root" "$here/record.txt" &
case=$!
end() {
    kill "$case" 2>/dev/null
    while read -r process; do kill -9 "$process" 2>/dev/null; done < "$PROCESSES"
    rm -f "$PROCESSES"
    exit 2
}
trap end INT TERM HUP
wait "$case"
status=$?
rm -f "$PROCESSES"
exit $status
