#!/usr/bin/env bash
# Runs the case; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." && [ -x target/review-2 ] || exit 2
exec target/review-2 large review/8
