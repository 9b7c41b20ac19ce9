"""What `scale.py` is made of: processes and their cost, links to cut, hollow followers, a checker."""
