#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-stand ./review/stand
