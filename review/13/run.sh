#!/usr/bin/env bash
# Exits with 1 if more of the tenant's requests ran than its quota allows, 0 if not, and 2 if the
# case couldn't run. With TROUBLE=0, no zone is partitioned; the tenant sends as much.
set -u
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
