#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, after the build of the
# deploy file. It needs no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
cd "$root/review/standin-2"
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o "$root/target/review-2/standin" .
