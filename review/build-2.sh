#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs the Go tool chain and no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p bin
CGO_ENABLED=0 GOWORK=off GOPROXY=off go build -o bin/standin2 .
