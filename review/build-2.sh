#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8, into target/ beside the program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/_stand2
