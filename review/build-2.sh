#!/usr/bin/env bash
# Builds the program that plays cases 6 to 10: stand-ins of the platform, of replicas and of clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/stage
