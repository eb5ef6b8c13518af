package simulator

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Loopback returns a loopback address with port 0 that other processes do not listen on.
func Loopback() string { return LoopbackIP(1) + ":0" }

// LoopbackIP returns a loopback address that other processes do not listen on, one for each
// number from 1 to 254. Ports are then taken neither by their listeners nor by outgoing
// connections, which use 127.0.0.1, while a target is down or before a host listens on a port
// chosen for it.
func LoopbackIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, pid%256, number)
}

// FreeAddresses returns distinct loopback addresses that no listener uses.
func FreeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", Loopback())
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		// All are closed on return only, so that they differ.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
