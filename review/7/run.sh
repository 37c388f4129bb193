#!/usr/bin/env bash
# Case 7: a process that was started again sends requests to a back end that leaves. See claim.txt.
set -u
cd "$(dirname "$0")/../.."
test -x target/loomcleat && test -x target/review-2 || exit 2
exec target/review-2 recalled review/7/record.txt
