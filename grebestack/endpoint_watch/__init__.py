"""The life of a watch: when it is opened, given up and opened anew. Pure."""
