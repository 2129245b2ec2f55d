#!/usr/bin/env bash
# Builds what the scripts of review/9 to review/13 start beside the program of the deploy file. Run it after that build.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_stand3
