"""What the two processes of an upgrade owe each other: the pact, its messages, the channel."""
