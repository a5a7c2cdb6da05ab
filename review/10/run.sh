#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/quota
if [ ! -x target/release/carobstepd ] || [ ! -x "$program" ]; then
    echo "could not run: build with deploy/system.toml and review/build-2.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
finish() {
    [ -f "$folder/pids" ] && while read -r pid; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done <"$folder/pids"
    rm -rf "$folder"
}
trap finish EXIT
TMPDIR=$folder PIDS=$folder/pids RECORD=review/10/record.txt timeout 115 "$program"
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
