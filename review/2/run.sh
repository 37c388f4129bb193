#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/review-2 ]; then
  bash review/build.sh || exit 2
fi
timeout -k 2 117 bin/review-2
status=$?
if [ "$status" -gt 2 ]; then
  exit 2
fi
exit "$status"
