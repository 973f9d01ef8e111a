"""One module for each egretctl command."""
