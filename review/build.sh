#!/usr/bin/env bash
# Builds what the scripts of the cases start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/target/standins ./review/platform
