#!/bin/sh
# Regenerates the committed protocol code. Needs protoc 3.21 with
# protoc-gen-go v1.36.12 and protoc-gen-twirp v8.1.3 on the PATH.
set -eu
cd "$(dirname "$0")"
for proto in peer/peerpb/peer.proto operator/operatorpb/operator.proto; do
	protoc --go_out=. --go_opt=module=bramleyfall.example/bramleyfall \
		--twirp_out=. --twirp_opt=module=bramleyfall.example/bramleyfall "$proto"
done
