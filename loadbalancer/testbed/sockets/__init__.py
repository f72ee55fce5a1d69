"""The model on sockets: real `loadbalancer` processes on loopback, in real time, each party a
process.
"""
