#!/usr/bin/env bash
# Regenerates src/node_capnp.rs and src/gateway_capnp.rs; needs Debian's capnproto and `cargo install capnpc`.
set -eu
cd "$(dirname "$0")"
capnp compile -o rust:src --src-prefix=schema schema/node.capnp schema/gateway.capnp
