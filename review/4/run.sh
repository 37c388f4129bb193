#!/usr/bin/env bash
# Case 4: a request that lies in the body of another one runs. See claim.txt.
set -u
cd "$(dirname "$0")/../.."
test -x target/loomcleat && test -x target/review-2 || exit 2
exec target/review-2 smuggle review/4/record.txt
