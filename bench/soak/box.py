"""Runs `springrock` with a box's own links to replicas: `python -m bench.soak.box ARGS... FILE`.

Only the soak starts it. `FILE` is the box's settings file.
"""

from gevent import monkey

monkey.patch_all()

import sys
from pathlib import Path

from bench.soak.rerouting import reroute_connections
from springrock.cli import main

if __name__ == "__main__":
    reroute_connections(Path(sys.argv[-1]))
    sys.argv[0] = "springrock"
    main()
