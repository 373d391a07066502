#!/bin/sh
# TROUBLE=0 plays the same without SIGTERM.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
