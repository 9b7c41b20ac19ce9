"""Parts of `scale.py`: process costs, links that can be cut, hollow followers and a history checker."""
