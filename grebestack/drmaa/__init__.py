"""The DRMAA2 API as JSON over HTTP: translates between its messages and the job service."""
