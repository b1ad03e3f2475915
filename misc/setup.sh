#!/usr/bin/env bash
# Installs the missing Debian packages of misc/packages.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done < misc/packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
