#!/bin/sh
# Builds the stand-ins of the cases from 6 on, after the build of the deploy file. They
# need no library, and no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/out/review-2"
cd "$root/review/stand-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -o "$root/out/review-2/stand-2" .
