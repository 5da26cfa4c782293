package simulator

import (
	"net"
	"testing"
)

// TestAllocatedPortsAreUnique checks that no port is allocated twice before anything listens on it. Otherwise, two
// test runs on one machine may get the same port, and a controller ends with "address already in use".
func TestAllocatedPortsAreUnique(t *testing.T) {
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
				t.Fatalf("%s was allocated by allocators %d and %d, want one owner", addr, other, i)
			}
			owner[addr] = i
		}
	}
}

// TestPortsInUseArePassedOver checks that an allocator skips a port on which another listener is active, and that a
// closed allocator's blocks are free again.
func TestPortsInUseArePassedOver(t *testing.T) {
	first := &portAllocator{}
	addr, err := first.allocate()
	if err != nil {
		t.Fatal(err)
	}
	locked := first.locks[0].Addr().String()
	if _, err := net.Listen("tcp4", locked); err == nil {
		t.Fatalf("the block of %s is not locked, want its lock port in use", addr)
	}
	first.next-- // makes the allocator check the same port again, which is in use now
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	second, err := first.allocate()
	if err != nil {
		t.Fatal(err)
	}
	if second == addr {
		t.Errorf("%s was allocated while in use, want another port", addr)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if err := first.close(); err != nil {
		t.Error(err)
	}
	unlocked, err := net.Listen("tcp4", locked)
	if err != nil {
		t.Fatalf("the block is still locked after its allocator was closed: %v", err)
	}
	if err := unlocked.Close(); err != nil {
		t.Error(err)
	}
}
