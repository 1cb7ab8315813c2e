#!/usr/bin/env bash
# Lays beside our own sites what the bench wants there and git ignores: names, wire and the known troubles, as given.
# usage: deploy/sites/lay.sh GIVEN   (the folder that holds kit/)
set -euo pipefail
given=${1:?usage: deploy/sites/lay.sh GIVEN}
here=$(cd "$(dirname "$0")" && pwd)
for file in real.json wire.json unlock.txt; do
  install -m 644 "$given/kit/sites/$file" "$here/$file"
done
