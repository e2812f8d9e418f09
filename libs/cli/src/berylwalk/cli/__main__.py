"""Entry point of ``python -m berylwalk.cli``."""

import sys

from berylwalk.cli._main import main

sys.exit(main())
