#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
timeout -s INT -k 6 112 ../target/standins -case long-body -node ../../target/basilwayd -record "${RECORD:-record.txt}" -trouble="$trouble"
status=$?
if [ "$status" -gt 2 ]; then exit 2; fi
exit "$status"
