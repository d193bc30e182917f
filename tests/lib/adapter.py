"""Import the platform adapter with the same path as platform/__main__.py."""

import importlib
import sys
from pathlib import Path

_FOLDER = str(Path(__file__).resolve().parents[2] / "platform")
if _FOLDER not in sys.path:
    sys.path.insert(0, _FOLDER)

decode = importlib.import_module("adapter.decode")
headers = importlib.import_module("adapter.headers")
store = importlib.import_module("adapter.store")
