#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/review. They have a
# module of their own without dependencies, so that the project's checks pass them over.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review/standin .
