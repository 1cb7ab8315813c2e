#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
javac -d target stand/*.java
