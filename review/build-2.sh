#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2 ./review/harness2
