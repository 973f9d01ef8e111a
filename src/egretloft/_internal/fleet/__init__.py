"""Jobs of many steps on leased targets: acceptance, queue, placing and recovery."""
