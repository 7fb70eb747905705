#!/usr/bin/env bash
# Builds the stand-in of the cases 6 and later into bin/. Needs the build of the deploy file before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin2 ./review/standin2
