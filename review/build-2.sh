#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the JDK only; run it after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
javac="${JAVA_HOME:+$JAVA_HOME/bin/}javac"
mkdir -p target/review-2
"$javac" -d target/review-2 review/standins-2/*.java
