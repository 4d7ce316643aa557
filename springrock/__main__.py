"""Entry point: patch the standard library for gevent, then run the command line."""

from gevent import monkey

monkey.patch_all()

from springrock.cli import main

if __name__ == "__main__":
    main()
