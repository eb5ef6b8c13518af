package simulator

import (
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Meter is a wigeonspindle.Meter that counts sends and the elements that full rings refused.
type Meter struct {
	SendLock sync.RWMutex // SendLock blocks the query loops at their next send while it is write-locked.

	mutex   sync.Mutex
	dropped map[string]int
	sent    int
}

// ObserveAnswer does nothing.
func (m *Meter) ObserveAnswer(string, wigeonspindle.Verdict, wigeonspindle.Coverage, time.Duration) {}

// CountRefusal does nothing.
func (m *Meter) CountRefusal(string, wigeonspindle.Code) {}

// CountSend counts a send.
func (m *Meter) CountSend(string, wigeonspindle.SendKind) {
	m.SendLock.RLock()
	defer m.SendLock.RUnlock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sent++
}

// CountDrop counts an element that a full ring refused.
func (m *Meter) CountDrop(ring string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.dropped == nil {
		m.dropped = make(map[string]int)
	}
	m.dropped[ring]++
}

// Drops returns the number of elements that rings of a kind refused.
func (m *Meter) Drops(ring string) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.dropped[ring]
}

// Sends returns the number of sends.
func (m *Meter) Sends() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.sent
}
