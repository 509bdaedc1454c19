"""Jobs of the product's own interface: identities, ledgers, routing and runs."""
