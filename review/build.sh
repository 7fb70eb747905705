#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The gateway itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/standin
