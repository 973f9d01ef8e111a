"""Runs ``egretloft-platformd`` from a checkout, without installing the package."""

import os
import sys
from pathlib import Path

# The program speaks no TLS. aiohttp loads the certificates when it is imported, which
# takes a sixth of the time that a process needs to start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from egretloft.cli.platform_daemon import main

if __name__ == "__main__":
    main()
