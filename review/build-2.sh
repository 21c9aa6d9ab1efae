#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts. It comes after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_standin-2
