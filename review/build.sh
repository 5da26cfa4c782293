#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. The project's own program is built with the command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
