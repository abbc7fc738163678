#!/usr/bin/env bash
# Builds the program that plays the cases of review/REPORT-2.md. Its stand-ins are built into it.
set -euo pipefail
cd "$(dirname "$0")/stand2"
GOWORK="$PWD/go.work" go build -trimpath -o ../../target/review-2 .
