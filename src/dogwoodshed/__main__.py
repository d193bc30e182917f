"""Run the command line with `python -m dogwoodshed`."""

import sys

from dogwoodshed._internal.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
