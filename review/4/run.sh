#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
exec env PYTHONDONTWRITEBYTECODE=1 timeout -k 5 118 python3 case.py
