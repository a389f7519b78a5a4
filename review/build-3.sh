#!/bin/sh
# Builds what the scripts of the third review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go test -c -tags review -o target/review-fleet ./review/fleet
