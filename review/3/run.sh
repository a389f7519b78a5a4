#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" spoilt-head "$(dirname "$0")"
