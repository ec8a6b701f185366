"""Cases of an independent review: each folder shows one broken rule."""
