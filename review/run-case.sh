#!/usr/bin/env bash
# Runs the case $1 with its record in the folder $2, for 115 s at most, and ends what it may have left running.
driver=target/review/review-driver
[ -x "$driver" ] || { echo "review/build.sh has not run"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 2 115 "$driver" "$1" "$2"
rc=$?
for pid in $(sed -n 's/.* started, pid \([0-9]*\)$/\1/p' "$2/record.txt"); do
    name=$(cat "/proc/$pid/comm" 2>/dev/null)
    case "$name" in
        cuminloom-*) kill -9 "$pid" ;;
    esac
done
rm -rf "$TMPDIR"
[ "$rc" -le 2 ] || rc=2
exit "$rc"
