#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build of deploy/system.toml has
# built target/fireflyfield before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
