#!/usr/bin/env bash
# Builds what the scripts of the third review (review/11 and above) start besides target/basilwayd.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-third ./review/third/platform
