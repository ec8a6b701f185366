"""Hooks of behave: what a scenario started is ended with it.

If it fails, the logs, settings and records of its processes are kept and named.
"""

import shutil
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KEPT = ROOT / "build" / "failed"


def after_scenario(context, scenario):
    if scenario.status.has_failed():
        keep_files(context, scenario)
    for clean_up in reversed(getattr(context, "clean_ups", [])):
        clean_up()


def keep_files(context, scenario):
    """Copy the directories of a failed scenario's processes, and print the place."""
    for name in ("cluster", "deployment"):
        directory = getattr(getattr(context, name, None), "directory", None)
        if directory is None or not Path(directory).exists():
            continue
        kept = KEPT / f"{Path(scenario.filename).stem}-{scenario.line}"
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(directory, kept)
        print(f"the failed scenario's files are in {kept.relative_to(ROOT)}")
