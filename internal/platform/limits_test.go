package platform

import "testing"

// The runtime's memory limit leaves room for the program itself and is positive.
func TestLimits_LeaveMemoryForProgram(t *testing.T) {
	for megabytes := 16; megabytes <= 4096; megabytes++ {
		limits := limitsFor(&Config{Limits: Limits{Sockets: 256, MemoryMB: megabytes}})
		memory := int64(megabytes) << 20
		if limits.memoryBytes <= 0 || limits.memoryBytes+programBytes > memory {
			t.Fatalf("%d MB: got a limit of %d bytes, want room for %d more", megabytes, limits.memoryBytes,
				programBytes)
		}
	}
}

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
