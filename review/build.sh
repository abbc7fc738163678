#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK="$PWD/go.work" go build -trimpath -o bin/ ./stand
