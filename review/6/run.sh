#!/usr/bin/env bash
# Case 6: a process forgets the leaving that it has acknowledged. See claim.txt.
set -u
cd "$(dirname "$0")/../.."
test -x target/loomcleat && test -x target/review-2 || exit 2
exec target/review-2 acknowledged review/6/record.txt
