#!/bin/sh
# Builds the stand-ins of all cases. They use the standard library only.
cd "$(dirname "$0")/standin" || exit 1
exec cargo build --release --locked --offline
