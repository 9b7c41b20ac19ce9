"""The configuration on its way from voters over relays to followers. Pure: events in, actions out."""
