#!/bin/bash
# Builds the stand-ins of the review's scripts with the JDK alone.
set -e
cd "$(dirname "$0")/platform"
mkdir -p target
javac -Xlint:all -d target src/*.java
