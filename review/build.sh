#!/bin/sh
# Builds the harness of the scripted cases. The stand-ins of the store, of servers and of callers are parts of it.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target && go build -o target/review ./review/harness
