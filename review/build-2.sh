#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, 6 to 10, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in 6 7 8 9 10; do
	if [ -d "review/$case" ]; then
		go build -o "review/bin/$case" "./review/$case"
	fi
done
