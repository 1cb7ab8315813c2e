#!/bin/sh
# Builds the stand-ins of the cases from 6 on. Needs the JDK and a C compiler, and no network.
set -e
cd "$(dirname "$0")/stand-2"
rm -rf target
mkdir -p target/classes
javac -Xlint:all -d target/classes ./*.java
cc -O1 -Wall -o target/platform platform.c
