#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, beside the programs of the deploy file. It needs no network once those are built.
cd "$(dirname "$0")/.." || exit 2
GOWORK="$PWD/review/harness-3/go.work" go build -C review/harness-3 -o ../../target/review-3 .
