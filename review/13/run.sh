#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/pomelospar_edge ] || exit 2
timeout --kill-after=5 115 python3 -B case.py
status=$?
case "$status" in 0 | 1 | 2) exit "$status" ;; *) exit 2 ;; esac
