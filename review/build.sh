#!/bin/sh
# Builds the stand-ins and the player of the scripts. The nodes' program comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-world ./review/world
