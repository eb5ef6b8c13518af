#!/usr/bin/env bash
# Builds the program that holds the stand-ins of all scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-standin ./review/platform/standin
