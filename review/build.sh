#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]*/; do
	go build -o "review/bin/$(basename "$folder")" "./$folder"
done
