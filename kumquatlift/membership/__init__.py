"""Which entry processes there are, from gossip over UDP."""
