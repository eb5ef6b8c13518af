package simulator

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// reservedIP is the number of the first loopback IP of ReservedAddress.
	reservedIP = 254
	// firstReservedPort and reservedPorts are the ports that ReservedAddress uses of each IP. They are below those
	// that the kernel assigns.
	firstReservedPort = 12000
	reservedPorts     = 20000
)

// reservedAddresses counts the addresses that ReservedAddress has returned.
var reservedAddresses atomic.Int64

// Loopback returns an address with port 0 on a loopback IP that other processes do not use.
func Loopback() string { return LoopbackIP(1) + ":0" }

// LoopbackIP returns a loopback IP derived from the process ID, one for each number from 1 to
// 254. Other processes do not listen on it and outgoing connections use 127.0.0.1, so no port
// is taken while a target is down or before a host listens on its assigned port.
func LoopbackIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, pid%256, number)
}

// ReservedAddress returns a loopback address that no other call returns. Nothing else takes its port before a
// listener opens or after it has closed: other processes do not use the IP, and the kernel does not assign the port.
func ReservedAddress() string {
	number := int(reservedAddresses.Add(1) - 1)
	return fmt.Sprintf("%s:%d", LoopbackIP(reservedIP-number/reservedPorts), firstReservedPort+number%reservedPorts)
}

// ReservedAddresses returns several reserved addresses.
func ReservedAddresses(count int) []string {
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = ReservedAddress()
	}
	return addresses
}
