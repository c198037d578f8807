#!/bin/sh
here=$(dirname "$0")
exec sh "$here/../peers-2/run-case.sh" "$here"
