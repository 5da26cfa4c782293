package simulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports that controllers listen on are taken from below the range that the system assigns to sockets without a port,
// in blocks. The first port of a block is its lock.
const (
	minPort          = 12_000
	portsPerBlock    = 50
	portBlocks       = 400
	maxBlockAttempts = 2_000
)

// errNoPortBlock is returned when every block of ports that was tried belongs to somebody else.
var errNoPortBlock = errors.New("no free block of loopback ports")

// portAllocator hands out loopback ports to one simulation. A port is free when it is handed out, but its controller
// listens there only later, and not at all while it is down. So that no simulation of another test, or of another
// process, takes it meanwhile, the allocator listens on the first port of each block from which it allocates, until
// it is closed: of two that draw the same block only one can.
type portAllocator struct {
	mu    sync.Mutex
	locks []net.Listener // of the blocks that are held
	next  int            // the port that is tried next
	end   int            // the port after the newest block's last
}

// loopbackAddr returns the address of a loopback port.
func loopbackAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// allocate returns an address on which nothing listens and which no other allocator hands out until this one is
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
			continue // a program that doesn't use blocks listens there
		}
		return addr, listener.Close()
	}
}

// lockBlock makes a free block the one from which ports are allocated.
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

// close gives all blocks back.
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
