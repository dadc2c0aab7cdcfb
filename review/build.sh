#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. It needs the Go toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/.bin/standin ./review/_standin
