#!/bin/sh
# Builds the stand-ins of the cases from 11 on into review/stand-3/bin.
set -e
cd "$(dirname "$0")/stand-3"
GOWORK=off go build -o bin/stand-3 .
