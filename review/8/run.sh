#!/usr/bin/env bash
# Runs the case; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." && [ -x target/review-2 ] && [ -x target/gladed ] || exit 2
export TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in 0 | 1) ;; *) echo "TROUBLE is 0 or 1" && exit 2 ;; esac
exec target/review-2 large review/8
