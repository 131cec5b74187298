"""Entry point of `python -m stepstream.simulator_adapter`."""

import sys

from stepstream.simulator_adapter.command import main

sys.exit(main())
