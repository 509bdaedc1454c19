"""How upstreams announce themselves, how they are called, and a stand-in for one."""
