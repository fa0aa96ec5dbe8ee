"""Run the daemon from a checkout, without installing it."""

import gc
import sys
from pathlib import Path

# What is imported stays; looking for garbage among it takes a tenth of a start.
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from reedhook.process.start import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
