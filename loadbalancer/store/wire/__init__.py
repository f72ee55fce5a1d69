"""What goes over connections: frames, greetings, requests and answers. No I/O."""
