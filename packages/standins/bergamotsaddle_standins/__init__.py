"""Small stand-ins for the platform and the targets; the daemon never imports them."""
