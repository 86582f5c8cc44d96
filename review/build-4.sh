#!/bin/bash
# Builds the stand-ins of review/harness-4 into target/review4. Needs no network.
set -e
cd "$(dirname "$0")/harness-4"
mkdir -p ../../target/review4
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review4/review4 .
