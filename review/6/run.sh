#!/bin/sh
# Plays the case "uploads". It exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/resident target/review-2/standin-2; do
	[ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/standin-2 uploads review/6/record.txt
