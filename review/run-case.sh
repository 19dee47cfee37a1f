#!/usr/bin/env bash
# Runs a case of the stand-ins: run-case.sh NAME FOLDER
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -d target/review ] && [ -d target/lib ] || exit 2
exec java -Xmx256m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=1000 \
  -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp "target/review:target/lib/*" review.Script "$1" "$2"
