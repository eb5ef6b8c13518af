#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# crashing requests.
set -u
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/fleet ] && [ -x target/wigeonspindled ] || exit 2
exec timeout -k 5 115 target/review-2/fleet poison target/wigeonspindled "$here/record.txt"
