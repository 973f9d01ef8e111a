"""Usage intervals and monthly accounts."""
