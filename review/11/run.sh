#!/bin/sh
# Loses all machines of a fleet but one; exits with 1 if the one that is left loses more requests than LOST allows.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-fleet ] || exit 2
exec target/review-fleet survivor review/11/record.txt
