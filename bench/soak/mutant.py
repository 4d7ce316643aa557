"""Runs `springrock` with one mechanism disabled: `python -m bench.soak.mutant MECHANISM ARGS...`.

Only the soak starts it, to show that its judges detect the failures that the mechanism prevents.
"""

from gevent import monkey

monkey.patch_all()

import sys

from bench.soak.mechanisms import MECHANISMS
from springrock.cli import main

if __name__ == "__main__":
    _, mechanism, *arguments = sys.argv
    MECHANISMS[mechanism]()
    sys.argv = ["springrock", *arguments]
    main()
