package queuer_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// TestOfferRefusesWhenFull guards against an unbounded queue between duties.
func TestOfferRefusesWhenFull(t *testing.T) {
	for _, size := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			ring := queuer.New[int](size)
			for i := range size {
				if !ring.Offer(i) {
					t.Fatalf("element %d: got refused, want accepted", i)
				}
			}
			if ring.Offer(size) {
				t.Error("full ring: got accepted, want refused")
			}
			if got, want := ring.Len(), size; got != want {
				t.Errorf("length: got %d, want %d", got, want)
			}
		})
	}
}

// TestDrainKeepsOrder guards against reordered or lost elements and against a drain that
// exceeds the buffer.
func TestDrainKeepsOrder(t *testing.T) {
	ring := queuer.New[int](5)
	for i := range 5 {
		ring.Offer(i)
	}
	got := ring.Drain(make([]int, 0, 3))
	got = append(got, ring.Drain(make([]int, 0, 8))...)
	if want := []int{0, 1, 2, 3, 4}; !slices.Equal(got, want) {
		t.Errorf("drained: got %v, want %v", got, want)
	}
}

// TestPutStops guards against a producer that waits for ever when its duty has stopped.
func TestPutStops(t *testing.T) {
	ring := queuer.New[int](1)
	ring.Offer(1)
	stop := make(chan struct{})
	done := make(chan bool)
	go func() { done <- ring.Put(2, stop) }()
	close(stop)
	if <-done {
		t.Error("put on a full ring after stop: got accepted, want refused")
	}
}

// condRing is the alternative that was weighed: a slice with a mutex and two conditions.
type condRing struct {
	mutex    sync.Mutex
	ready    sync.Cond
	room     sync.Cond
	elements []int
	first, n int
}

func newCondRing(size int) *condRing {
	r := &condRing{elements: make([]int, size)}
	r.ready.L, r.room.L = &r.mutex, &r.mutex
	return r
}

func (r *condRing) put(element int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.n == len(r.elements) {
		r.room.Wait()
	}
	r.elements[(r.first+r.n)%len(r.elements)] = element
	r.n++
	r.ready.Signal()
}

func (r *condRing) take() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.n == 0 {
		r.ready.Wait()
	}
	element := r.elements[r.first]
	r.first = (r.first + 1) % len(r.elements)
	r.n--
	r.room.Signal()
	return element
}

// BenchmarkRing compares the channel's buffer with the mutex and condition for several
// producers and one consumer, the way duties use it.
func BenchmarkRing(b *testing.B) {
	for _, producers := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("channel/producers=%d", producers), func(b *testing.B) {
			ring := queuer.New[int](4096)
			stop := make(chan struct{})
			produce(b.N, producers, func(i int) { ring.Put(i, stop) })
			for range b.N {
				<-ring.C()
			}
		})
		b.Run(fmt.Sprintf("condition/producers=%d", producers), func(b *testing.B) {
			ring := newCondRing(4096)
			produce(b.N, producers, ring.put)
			for range b.N {
				ring.take()
			}
		})
	}
}

func produce(n, producers int, put func(int)) {
	for p := range producers {
		go func() {
			for i := p; i < n; i += producers {
				put(i)
			}
		}()
	}
}
