#!/usr/bin/env bash
# Plays case 10. With TROUBLE=0 the request crashes no replica. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-world3 ] || { echo "target/review-world3 is missing: run the build of the deploy file and review/build-2.sh"; exit 2; }
RECORD=review/10/record.txt exec target/review-world3 request-silent
