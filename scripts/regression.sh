#!/usr/bin/env bash
# Plays the regression set on the users' bench: hunts and quick scores of the deployments whose site
# files lie below KIT, the folder with the users' pages. Not part of CI, which lacks the bench.
# usage: scripts/regression.sh BENCH KIT [JOBS]
set -euo pipefail
bench=$1 kit=$2 jobs=${3:-3}
cd "$(dirname "$0")/.."
for site in further/jalrang-dr sites/holmnet-pass sites/hinokuni-sched; do
  "$bench" hunt "$kit/$site.toml" --days 40 --jobs "$jobs"
done
# A day of these takes minutes; more than one at a time exceeds the memory of most machines.
for site in further-grown/jalrang-dr-grown grown/hinokuni-sched-grown grown/holmnet-pass-grown large/hinokuni-sched-large; do
  "$bench" hunt "$kit/$site.toml" --days 8 --jobs 1
done
for day in deploy/days/*.toml; do
  "$bench" run "$kit/sites/hinokuni-sched.toml" "$day" --jobs "$jobs"
done
