#!/usr/bin/env bash
# Exits with 1 if the rule on order was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: no crowd.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x bin/storage-gateway ] && [ -x bin/review-standin2 ] || { echo "not built" >&2; exit 2; }
ROOT=$PWD exec bin/review-standin2 order "$folder/record.txt"
