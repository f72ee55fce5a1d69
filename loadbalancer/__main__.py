"""Entry point of the balancer, `python -m loadbalancer`, configured by BALANCER_CONFIG."""

from __future__ import annotations

import sys

from loadbalancer.openssl_exclusion import exclude_openssl


def main() -> int:
    """Run the balancer with the configuration named by the environment.

    Returns:
        The exit status.
    """
    exclude_openssl()
    # Imported here: asyncio and uvloop load OpenSSL unless it is excluded before.
    from loadbalancer.proxy import program  # noqa: PLC0415

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
