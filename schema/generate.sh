#!/usr/bin/env bash
# Generates Go types from the JSON Schemas of messages, settings, declarations and the operator API.
set -euo pipefail
cd "$(dirname "$0")"
gen() { local i=$1 t=$2 p=$3 o=$4; shift 4; go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --tags "$t" -p "$p" -o "$o" "$@" "$i"; gofmt -w "$o"; }
mkdir -p wire setting declared operatorwire
gen messages.schema.json msgpack wire wire/wire.gen.go
gen settings.schema.json json setting setting/setting.gen.go --struct-name-from-title --capitalization ID,URL,TLS,VM,CA
gen declaration.schema.json json declared declared/declared.gen.go --struct-name-from-title --capitalization VM
gen operator.schema.json json operatorwire operatorwire/operatorwire.gen.go --struct-name-from-title --capitalization ID,VM
