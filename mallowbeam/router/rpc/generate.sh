#!/bin/sh
# Regenerates the message module; needs grpcio-tools, which the build does not need.
set -eu
cd "$(dirname "$0")/../../.."
python3 -m grpc_tools.protoc -I. --python_out=. --pyi_out=. mallowbeam/router/rpc/messages.proto
