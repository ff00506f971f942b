"""Run a proxy fleet for targets with gray failures."""

from typing import Final

__version__: Final = "0.1.0"
