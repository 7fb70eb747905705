// Package wire implements the simulator's binary protocol: it decodes batches of events, parses an instance's
// settings and encodes replies of actions. It makes no scheduling decisions.
//
// All integers are little-endian; times are nanoseconds in 64 bits, fractions 32-bit floats. Settings are
// path=value lines in the protocol and nested JSON in the platform's configuration; both use one mapping.
package wire
