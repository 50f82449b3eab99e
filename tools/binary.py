"""Entry point of the one-file binary."""

import sys

from wisteriastair.main import main

if __name__ == "__main__":
    sys.exit(main())
