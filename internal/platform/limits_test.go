package platform

import "testing"

// For every limit of file descriptors, all connections and the reserved descriptors together fit into it.
func TestLimits_FitFileDescriptors(t *testing.T) {
	for sockets := minSockets; sockets <= 4096; sockets++ {
		limits := limitsFor(&Config{Limits: Limits{Sockets: sockets, MemoryMB: 64}})
		if limits.clients+limits.lingering+limits.upstream+reservedSockets > sockets || limits.clients < 1 ||
			limits.upstream < 1 || limits.lingering < 2 {
			t.Fatalf("%d descriptors: got %+v and %d reserved, want all within the limit", sockets, limits,
				reservedSockets)
		}
	}
}
