#!/bin/sh
# run-case.sh CASE FOLDER plays one case and writes its record to FOLDER/record.txt. It exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-world ] && [ -x target/quetzalfront ] || { echo "not built: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
exec target/review-world -case "$1" -record "$folder/record.txt" -program target/quetzalfront
