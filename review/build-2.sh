#!/bin/sh
# Builds the stand-ins and the programs of the cases 6 to 10 with the Java compiler alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" -Xlint:all -d target/review-2 review/src-2/*.java
