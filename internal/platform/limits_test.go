package platform

import "testing"

// Whatever the limit of descriptors, all connections and the reserved ones fit into it together.
func TestLimits_FitTheDescriptors(t *testing.T) {
	for sockets := minSockets; sockets <= 4096; sockets++ {
		limits := limitsFor(&Config{Limits: Limits{Sockets: sockets, MemoryMB: 64}})
		if limits.clients+limits.lingering+limits.upstream+reservedSockets > sockets || limits.clients < 1 ||
			limits.upstream < 1 || limits.lingering < 2 {
			t.Fatalf("%d descriptors: %+v and %d reserved", sockets, limits, reservedSockets)
		}
	}
}
