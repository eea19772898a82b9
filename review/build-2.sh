#!/bin/sh
# Builds the stand-ins of the second review's cases. Needs the Go tool chain only.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../bin
CGO_ENABLED=0 go build -o ../../bin/standin-2 .
