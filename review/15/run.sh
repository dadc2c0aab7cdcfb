#!/usr/bin/env bash
# Runs the case with the programs that the deploy file and review/build-3.sh build. What was sent, answered and run goes to record.txt;
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/auburncleatd ] && [ -x target/stand3 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/stand3 pending review/15/record.txt
