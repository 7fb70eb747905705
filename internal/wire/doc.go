// Package wire speaks the simulator's binary protocol: it reads batches of events, parses an instance's
// settings and writes replies of actions. It decides nothing.
//
// All integers are little-endian; times are nanoseconds in 64 bits, fractions 32-bit floats. Settings come as
// path=value lines in the protocol and as nested JSON elsewhere; both go through one mapping.
package wire
