#!/usr/bin/env bash
# Runs the case: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: no disruption.
# KEEP=FOLDER keeps settings and logs there.
cd "$(dirname "$0")/../.." || exit 2
folder="$(mktemp -d)" || exit 2
finish() {
    while read -r process; do
        if grep -qs "target/release/shallotcross" "/proc/$process/cmdline"; then
            kill -KILL "$process"
        fi
    done < <(cat "$folder/processes" 2>/dev/null)
    [ -n "${KEEP:-}" ] && cp -r "$folder" "$KEEP"
    rm -rf "$folder"
}
trap finish EXIT
timeout --kill-after=2 110 target/review/case-3 "$PWD" review/3/record.txt "$folder"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
