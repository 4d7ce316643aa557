"""Embed the coordination parts without the daemon: claims that make a job run at most once.

Run: python examples/embed_claims.py
It brings its own stand-in of the platform, so that it runs anywhere.
"""

from gevent import monkey

monkey.patch_all()

from springrock.coordination.claims import Claims
from springrock.emulator.platform import PlatformStandin
from springrock.emulator.ports import free_addresses
from springrock.emulator.settings import PlatformStandinSettings
from springrock.platform_clients.http import HttpPlatform
from springrock.settings import PlatformSection


def main() -> None:
    """Let two workers claim the same job."""
    (address,) = free_addresses(1)
    standin = PlatformStandin(PlatformStandinSettings(address=address))
    standin.start()
    section = PlatformSection(table_address=address, objects_address=address, list_address=address)
    for name in ("first worker", "second worker"):
        claims = Claims(HttpPlatform(section), box=name)
        claims.start()
        result = claims.claim("job-1")
        print(name, "runs the job" if result.is_ok() else f"leaves it: {result.error.detail}")
        claims.stop()
    standin.stop()


if __name__ == "__main__":
    main()
