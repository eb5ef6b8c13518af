package main

import (
	"fmt"
	"net/http"
	"time"
)

// clientDeadline is how long the clients of the cases wait for an answer.
const clientDeadline = 4 * time.Second

// sendBursts sends a number of requests at once, again and again until a time.
func (b *bench) sendBursts(method, path string, count int, interval time.Duration, until time.Time) {
	for time.Now().Before(until) {
		for range count {
			b.clients.send(method, path, clientDeadline, []byte("order"))
		}
		time.Sleep(interval)
	}
}

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// checkOnce checks TWICE and REFUSED: no request ran more than once, and none of which an answer says that it has not
// run has run.
func (b *bench) checkOnce() bool {
	twice, refused, once := 0, 0, 0
	for id, count := range b.journal.runsByID() {
		once++
		if count > 1 {
			twice++
			b.record.printf("TWICE: %s ran %d times; its client got %d", id, count, b.journal.answerTo(id).status)
		}
		if status := b.journal.answerTo(id).status; isPromise(status) {
			refused++
			b.record.printf("REFUSED: %s has run; its client got %d", id, status)
		}
	}
	b.record.printf("result: %d requests ran, %d of them more than once, %d although the answer says that they have not", once, twice, refused)
	fmt.Printf("%d requests ran, %d of them more than once, %d although the answer says that they have not\n", once, twice, refused)
	return twice+refused > 0
}

// Parameters of lateRefusal.
const (
	// copyShare is the share of the answers of a garbled replica that are sent twice, during copyPeriod.
	copyShare   = 0.04
	copyPeriod  = 5 * time.Second
	copyPause   = time.Second
	copyPeriods = 15
	// orderBurst orders are sent at once in each orderInterval. A replica runs two and queues two.
	orderBurst    = 12
	orderInterval = 95 * time.Millisecond
	orderWork     = 4 * time.Millisecond
	orderReplicas = 2
	orderNodes    = 12
)

// lateRefusal sends orders, which must not run twice, to a service that is at times full, while one of its two replicas
// sends a second copy of a few of its answers late, where the next answer on that connection is due.
func lateRefusal(b *bench) (bool, error) {
	b.configure(7, []map[string]any{route("orders", "non_idempotent", "commissions")}, []map[string]any{service("commissions", 0)})
	var replicas []*replica
	for i := range orderReplicas {
		r := b.newReplica(fmt.Sprintf("i-comm%d", i), "commissions", string(rune('a'+i)), 2, 2, orderWork)
		if err := r.start(""); err != nil {
			return false, err
		}
		defer r.crash()
		replicas = append(replicas, r)
	}
	if err := b.startNodes(orderNodes); err != nil {
		return false, err
	}
	stop := time.Now().Add(copyPeriods * (copyPeriod + copyPause))
	go func() {
		for i := 0; b.trouble && time.Now().Before(stop); i++ {
			r := replicas[i%len(replicas)]
			r.setCopyShare(copyShare)
			time.Sleep(copyPeriod)
			r.setCopyShare(0)
			time.Sleep(copyPause)
		}
	}()
	b.sendBursts(http.MethodPost, "/orders/", orderBurst, orderInterval, stop)
	b.clients.pending.Wait()
	return b.checkOnce(), nil
}

func (r *replica) setCopyShare(share float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.copyShare = share
}
