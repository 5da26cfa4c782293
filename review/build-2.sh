#!/usr/bin/env bash
# Builds the stand-ins of the second review. The service itself is built by the command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
