# Builds the stand-ins that the scripts start; they need nothing but Python itself.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
