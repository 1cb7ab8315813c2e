#!/bin/sh
# Runs one case: run.sh CLASS FOLDER. The record goes to FOLDER/record.txt. review/build-2.sh has to be run before.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RECORD=$2/record.txt
export ROOT RECORD
if [ ! -f "$here/target/classes/$1.class" ] || [ ! -f "$ROOT/app/target/walkpost.jar" ]; then
    echo "not built: run the line build of deploy/balancer.toml and review/build-2.sh" >&2
    exit 2
fi
exec java -Xmx256m -XX:+UseSerialGC -cp "$here/target/classes" "$1"
