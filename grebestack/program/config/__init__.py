"""The program's configuration: from the platform's environment, or from an operator's file."""
