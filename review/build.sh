#!/usr/bin/env bash
# Builds the stand-ins of the cases; the build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
