#!/bin/sh
# Builds the stand-ins and scenarios of the review. Needs the build of deploy/system.toml first.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -cp "target/platform/lib/*" -d target/review review/src/*.java
