package simulator

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Loopback returns a loopback address with port 0 that other processes do not listen on.
// Ports are then taken neither by their listeners nor by outgoing connections, which use
// 127.0.0.1, while a target is down or before a host listens on a port chosen for it.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:0", 1+(pid>>8)%254, pid%256)
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
