#!/bin/sh
# Runs a case five times with the disruption and once without it, and prints the exit codes.
for i in 1 2 3 4 5; do "$1/run.sh" >/dev/null 2>&1; printf '%s ' $?; done
cp "$1/record.txt" "$1/record.trouble"
TROUBLE=0 "$1/run.sh" >/dev/null 2>&1; echo "without: $?"
mv "$1/record.trouble" "$1/record.txt"
