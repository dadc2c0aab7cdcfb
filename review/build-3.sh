#!/usr/bin/env bash
# Builds the stand-in of the third review; the build of the deploy file builds the hosts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/stand3 ./review/stand3
