"""Entry point: patch the standard library for gevent, then run the command line."""

from springrock import startup

startup.begin()

from springrock.cli import main

if __name__ == "__main__":
    main()
