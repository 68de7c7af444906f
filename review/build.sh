#!/bin/sh
# Builds the stand-ins of the scripts. Needs no network: it has no dependencies.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off GOPROXY=off go build -o ../bin/stand .
