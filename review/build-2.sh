#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2/ ./review/platform/fleet
