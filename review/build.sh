#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the JDK alone; run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
