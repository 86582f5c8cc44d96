#!/usr/bin/env bash
# Builds the program that plays the cases with scripts. The programs of the deploy file are built by its own command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness review/harness/*.go
