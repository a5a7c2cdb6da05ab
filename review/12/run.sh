#!/usr/bin/env bash
# Exits with 1 if a backend ran a request without the tenant of the client's key, 0 if not, and
# 2 if the case couldn't run. TROUBLE=0 leaves the tenant out of the header `Connection`.
set -u
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
