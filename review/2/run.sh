#!/usr/bin/env bash
# An engine preempts a stream for a while during a planned stop of the VM; the other engine is full.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -f target/lib/daisybend-entry.jar ] && [ -f target/review/PausedStream.class ] || exit 2
exec java -Xmx256m -cp target/review PausedStream "$folder"
