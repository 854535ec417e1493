#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 115 "${JAVA_HOME:+$JAVA_HOME/bin/}java" -cp target/review-2 CaseReplaced review/9/record.txt
