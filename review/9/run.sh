#!/bin/sh
# TROUBLE=0 plays the same without the restarts.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
