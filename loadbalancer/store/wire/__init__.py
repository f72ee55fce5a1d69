"""Wire format of the store's connections: frames, handshake, requests and replies. No I/O."""
