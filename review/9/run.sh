#!/bin/sh
# TROUBLE=0 plays the same without the outage and the kill; KILLS=0 or OUTAGE=0 leaves out one of them.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
