#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/resident ] && [ -x review/bin/standin ] || { echo 'build target/resident and review/build.sh first' >&2; exit 2; }
exec review/bin/standin refused-version review/3/record.txt
