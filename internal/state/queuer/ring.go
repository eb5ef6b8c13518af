// Package queuer provides the bounded ring that joins the duties of a host.
package queuer

// Ring is a bounded first-in first-out queue between goroutines. Producers never wait: a
// full ring refuses the element. Consumers block on C. The elements live in the circular
// buffer of a channel, so that a consumer can wait for several rings and a timer in one
// select without polling.
type Ring[T any] struct {
	elements chan T
}

// New returns a ring that holds at most size elements.
func New[T any](size int) *Ring[T] { return &Ring[T]{elements: make(chan T, size)} }

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

// Drain moves elements that are ready into buffer, up to its capacity, without waiting.
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

// Len returns the number of waiting elements.
func (r *Ring[T]) Len() int { return len(r.elements) }

// Cap returns the largest number of waiting elements.
func (r *Ring[T]) Cap() int { return cap(r.elements) }

// Put adds an element, waiting for room until stop is closed. It is for producers whose
// elements must not be lost and whose number is bounded, such as the senders of a target.
func (r *Ring[T]) Put(element T, stop <-chan struct{}) bool {
	select {
	case r.elements <- element:
		return true
	case <-stop:
		return false
	}
}
