#!/usr/bin/env bash
# Lays the operators' kit files beside the sites of this folder, where the bench looks for them. Git ignores them: nothing
# of the kit is committed. Give the folder with the kit's sites, if it is not the one beside the repository.
set -euo pipefail
cd "$(dirname "$0")"
from=${1:-../../../given/kit/sites}
for file in real.json wire.json unlock.txt; do
	cp -f "$from/$file" .
done
