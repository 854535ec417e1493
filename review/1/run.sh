#!/usr/bin/env bash
# A VM is stopped as planned while callers wait on it for models that are being loaded.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -f target/lib/daisybend-entry.jar ] && [ -f target/review/StopWhileLoading.class ] || exit 2
exec java -Xmx256m -cp target/review StopWhileLoading "$folder"
