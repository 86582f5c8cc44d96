#!/usr/bin/env bash
# Builds what the scripts of the second review start: the harness with its stand-ins, into target/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/harness-2 .
