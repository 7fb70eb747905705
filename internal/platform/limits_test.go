package platform

import (
	"testing"
)

// Whatever the limit, clients, those that linger, disk servers and what is set aside fit into it together.
func TestLimits_FitTheDescriptors(t *testing.T) {
	for sockets := minSockets; sockets <= 4096; sockets++ {
		b := limitsFor(&Config{Limits: Limits{Sockets: sockets, MemoryMB: 64}})
		if b.clients+b.lingering+b.upstream+reservedSockets > sockets || b.clients < 1 || b.upstream < 1 ||
			b.lingering < 2 {
			t.Fatalf("%d descriptors: %+v and %d set aside", sockets, b, reservedSockets)
		}
	}
}
