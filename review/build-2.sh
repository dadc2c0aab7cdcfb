#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into .bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/_standin2"
go build -o ../../.bin/review-standin2 .
