"""The model on sockets: real `lanelift` processes on loopback, in real time, each party a
process.
"""
