#!/usr/bin/env bash
# Runs the simulation of whole fleets; says what it takes when called with nothing. Compiles first what has changed.
set -euo pipefail
cd "$(dirname "$0")"
paths=target/scale.classpath
if [ ! -s "$paths" ] || [ -n "$(find pom.xml src -newer "$paths" -print -quit)" ]; then
  mkdir -p target
  # The class path of the tests is told by the compiler's plugin: no other plugin is needed for it.
  mvn -o -B -X -f .. -pl fleet test-compile > target/scale.compile.log || { tail -n 40 target/scale.compile.log >&2; exit 1; }
  sed -n 's/.*(f) testPath = \[\(.*\)\]$/\1/p' target/scale.compile.log | tail -n 1 | sed 's/, /:/g' > "$paths"
fi
exec java -Xmx4g -XX:+UseSerialGC -cp "$(cat "$paths")" walkpost.fleet.scale.Scale "$@"
