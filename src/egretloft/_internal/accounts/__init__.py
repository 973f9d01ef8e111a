"""Usage records and the monthly accounts computed from them."""
