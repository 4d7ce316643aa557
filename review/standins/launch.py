"""Runs a case's script; what keeps it from running is exit code 2, never that of a broken rule."""

import runpy
import sys
import traceback

try:
    runpy.run_path(sys.argv[1], run_name="__main__")
except SystemExit:
    raise
except BaseException:
    traceback.print_exc()
    sys.exit(2)
