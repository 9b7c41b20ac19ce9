"""Worker membership: merges the workers that several sources report. Pure: no I/O and no clock."""
