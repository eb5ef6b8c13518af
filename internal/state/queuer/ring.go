// Package queuer provides the bounded ring that connects the goroutines of a host.
package queuer

// Ring is a bounded FIFO queue between goroutines. Offer never blocks: it rejects the element
// when the ring is full. Consumers block on C. The elements are held in the circular buffer of
// a channel, so that a consumer can wait for several rings and a timer in one select without
// polling.
type Ring[T any] struct {
	elements chan T
}

// New returns a ring that holds at most capacity elements.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{elements: make(chan T, capacity)} }

// Offer adds an element and reports false when the ring is full.
func (r *Ring[T]) Offer(element T) bool {
	select {
	case r.elements <- element:
		return true
	default:
		return false
	}
}

// C returns the channel from which the consumer receives.
func (r *Ring[T]) C() <-chan T { return r.elements }

// Drain appends the queued elements to buffer, up to its capacity, without blocking.
func (r *Ring[T]) Drain(buffer []T) []T {
	for len(buffer) < cap(buffer) {
		select {
		case element := <-r.elements:
			buffer = append(buffer, element)
		default:
			return buffer
		}
	}
	return buffer
}

// Len returns the number of queued elements.
func (r *Ring[T]) Len() int { return len(r.elements) }

// Cap returns the largest number of queued elements.
func (r *Ring[T]) Cap() int { return cap(r.elements) }

// Put adds an element and blocks while the ring is full. It reports false when stop is closed
// first. Use it only for a bounded number of producers whose elements must not be lost, such
// as the senders of a target.
func (r *Ring[T]) Put(element T, stop <-chan struct{}) bool {
	select {
	case r.elements <- element:
		return true
	case <-stop:
		return false
	}
}
