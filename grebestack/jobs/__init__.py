"""The job service: handles a job from its first record to its final state; independent of HTTP and DRMAA."""
