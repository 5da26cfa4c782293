package simulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports for controllers are allocated in blocks, below the range of the system's ephemeral ports. The first port of a
// block serves as its lock.
const (
	minPort          = 12_000
	portsPerBlock    = 50
	portBlocks       = 400
	maxBlockAttempts = 2_000
)

// errNoPortBlock is returned when all drawn blocks of ports are locked by other allocators.
var errNoPortBlock = errors.New("no free block of loopback ports")

// portAllocator allocates loopback ports for one simulation. A port is free when it is allocated, but its controller
// listens on the port only later, and not while the controller is down. The port must not be allocated meanwhile by a
// simulation of another test or process. Therefore the allocator listens on the first port of each block that it uses,
// until it is closed: only one of several allocators can lock a block in this way.
type portAllocator struct {
	mu    sync.Mutex
	locks []net.Listener // listeners on the first ports of the locked blocks
	next  int            // next port to try
	end   int            // port after the last one of the newest block
}

// loopbackAddr returns the address of a loopback port.
func loopbackAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// allocate returns an address on which no program listens and which no other allocator returns until this one is
// closed.
func (a *portAllocator) allocate() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.next == a.end {
			if err := a.lockBlock(); err != nil {
				return "", err
			}
		}
		addr := loopbackAddr(a.next)
		a.next++
		listener, err := net.Listen("tcp4", addr)
		if err != nil {
			continue // the port is in use by a program that doesn't use the blocks
		}
		return addr, listener.Close()
	}
}

// lockBlock locks a free block, from which the next ports are allocated. It returns errNoPortBlock after
// maxBlockAttempts.
func (a *portAllocator) lockBlock() error {
	for range maxBlockAttempts {
		first := minPort + portsPerBlock*rand.IntN(portBlocks)
		lock, err := net.Listen("tcp4", loopbackAddr(first))
		if err != nil {
			continue
		}
		a.locks = append(a.locks, lock)
		a.next = first + 1
		a.end = first + portsPerBlock
		return nil
	}
	return errNoPortBlock
}

// close releases all blocks.
func (a *portAllocator) close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var errs []error
	for _, lock := range a.locks {
		errs = append(errs, lock.Close())
	}
	a.locks = nil
	a.next, a.end = 0, 0
	return errors.Join(errs...)
}
