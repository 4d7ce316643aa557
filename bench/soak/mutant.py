"""Runs `springrock` with one mechanism disabled: `python -m bench.soak.mutant MECHANISM ARGS...`.

Only the soak starts it, to show that its judges detect the failures that the mechanism prevents.
"""

from gevent import monkey

monkey.patch_all()

import sys
from pathlib import Path

from bench.soak.mechanisms import MECHANISMS
from bench.soak.rerouting import reroute_connections
from springrock.cli import main

if __name__ == "__main__":
    _, mechanism, *arguments = sys.argv
    MECHANISMS[mechanism]()
    reroute_connections(Path(arguments[-1]))
    sys.argv = ["springrock", *arguments]
    main()
