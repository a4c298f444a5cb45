"""Cases of an independent review: days for the bench, and scripts."""
