#!/bin/sh
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. With TROUBLE=0 the disturbance is left out.
cd "$(dirname "$0")/.." || exit 2
record="$2/record.txt"
target/review/stand "$1" "$record" &
stand=$!

# Ends what is still running, by its ids.
finish() {
    kill -KILL "$stand" 2>/dev/null
    for pid in $(sed -n 's/.* gateway pid //p' "$record" 2>/dev/null); do
        kill -KILL "$pid" 2>/dev/null
    done
}
trap 'finish; exit 2' INT TERM
wait "$stand"
result=$?
case $result in
    0 | 1) exit "$result" ;;
    *) finish; exit 2 ;;
esac
