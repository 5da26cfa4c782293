package simulator

import (
	"net"
	"testing"
)

// Two test runs on one machine drew the same port while the first one's controller had not yet listened there, and
// its controller ended with "address already in use".
func TestAllocatedPortsAreNobodyElses(t *testing.T) {
	const allocators, portsOfEach = 20, 3 * portsPerBlock
	owner := map[string]int{}
	for i := range allocators {
		allocator := &portAllocator{}
		t.Cleanup(func() {
			if err := allocator.close(); err != nil {
				t.Error(err)
			}
		})
		for range portsOfEach {
			addr, err := allocator.allocate()
			if err != nil {
				t.Fatal(err)
			}
			if other, taken := owner[addr]; taken {
				t.Fatalf("%s was handed out to allocators %d and %d", addr, other, i)
			}
			owner[addr] = i
		}
	}
}

// A port that any program listens on is passed over, and a closed allocator's blocks are free again.
func TestPortsInUseArePassedOver(t *testing.T) {
	first := &portAllocator{}
	addr, err := first.allocate()
	if err != nil {
		t.Fatal(err)
	}
	locked := first.locks[0].Addr().String()
	if _, err := net.Listen("tcp4", locked); err == nil {
		t.Fatalf("the block of %s is not locked", addr)
	}
	first.next-- // the port that was handed out is tried again, in use by now
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	second, err := first.allocate()
	if err != nil {
		t.Fatal(err)
	}
	if second == addr {
		t.Errorf("%s was handed out while a listener has it", addr)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if err := first.close(); err != nil {
		t.Error(err)
	}
	unlocked, err := net.Listen("tcp4", locked)
	if err != nil {
		t.Fatalf("the block is locked after its allocator was closed: %v", err)
	}
	if err := unlocked.Close(); err != nil {
		t.Error(err)
	}
}
