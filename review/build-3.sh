#!/usr/bin/env bash
# The stand-ins of the third review are Python and need no build; this checks that they can run here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 - <<'EOF'
import glob
for path in ["lab3.py", *glob.glob("1[1-5]/*.py")]:
    compile(open(path).read(), path, "exec")
EOF
