#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../play-2.sh" refused "$folder"
