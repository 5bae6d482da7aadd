#!/bin/sh
exec java ${FIRWHEEL_JAVA_OPTS:--XX:+UseG1GC -Xmx512m} -jar "$0" "$@"
