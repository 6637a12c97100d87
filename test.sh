#!/usr/bin/env bash
# Builds every module, checks format and style, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
if [ -s KNOWN-RED.txt ]; then
  echo "Known red (excluded below, see KNOWN-RED.txt):"
  cat KNOWN-RED.txt
fi
exec mvn -B -ntp verify
