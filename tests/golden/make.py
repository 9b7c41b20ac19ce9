"""Regenerate the golden files from the current code: `python -m tests.golden.make`, from the root.

Run it by hand, and only if a change of bytes is intended; tests never write golden files. The files named
`*.toml` and `*.sql`, `settings.json` and `settings_least.json` are written by hand.
"""

from __future__ import annotations

import json
from typing import Any

from tests.golden_control import all_control
from tests.golden_files import all_databases, all_files
from tests.golden_handover import handover_packets, keepsake
from tests.golden_links import export_request, first_bytes
from tests.golden_samples import GOLDEN_FOLDER, encode_all_samples
from tests.golden_settings import all_errors, all_settings
from tests.golden_texts import all_texts


def write(name: str, value: Any) -> None:
    """Write one golden file, with its keys sorted."""
    text = json.dumps(value, indent=1, sort_keys=True)
    (GOLDEN_FOLDER / name).write_text(text + "\n", encoding="utf-8")


def main() -> None:
    """Write all golden files."""
    write("messages.json", encode_all_samples())
    write("links.json", first_bytes())
    write("export_request.json", export_request())
    write("handover.json", handover_packets())
    write("keepsake.json", keepsake())
    write("files.json", all_files())
    write("databases.json", all_databases())
    write("settings_values.json", all_settings())
    write("settings_errors.json", all_errors())
    write("control.json", all_control())
    write("texts.json", all_texts())  # last, because it reads the other files


if __name__ == "__main__":
    main()
