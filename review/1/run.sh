#!/usr/bin/env bash
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "$folder/../run-case.sh" lapsed-entries "$folder"
