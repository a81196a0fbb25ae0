#!/bin/bash
# Builds the stand-ins of the cases. It needs Go and nothing else; no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o bin/standin ./standin
