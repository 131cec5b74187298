"""`python -m stepstream`."""

import sys

from stepstream.cli import main

sys.exit(main())
