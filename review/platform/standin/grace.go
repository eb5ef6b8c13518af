package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Parameters of changedGrace.
const (
	changedGraceSeconds = 4
	// lateSend is the time after the SIGTERM from which LOST counts a request that a replica is running at the end.
	lateSend      = 3 * time.Second
	graceReplicas = 20
	graceLoad     = 160.0
	graceWork     = 160 * time.Millisecond
	graceSettle   = 7 * time.Second
	// changedNodes of the nodes get other settings, hupGap apart, and are stopped.
	graceNodes   = 5
	changedNodes = 3
	hupGap       = time.Second
	graceClients = 60
	// One in heldEach clients keeps an answer of the directory heldFactor times as long.
	heldEach   = 3
	heldFactor = 3
)

// changedGrace changes the grace period in the settings of some nodes and sends them SIGHUP. Later these nodes in turn get
// SIGTERM, and SIGKILL at the end of the grace period that their settings state by then.
func changedGrace(b *bench) (bool, error) {
	b.configure(7, []map[string]any{route("orders", "non_idempotent", "commissions")}, []map[string]any{service("commissions", 0)})
	for i := range graceReplicas {
		r := b.newReplica(fmt.Sprintf("i-comm%d", i), "commissions", string(rune('a'+i%3)), 2, 8, graceWork)
		if err := r.start(""); err != nil {
			return false, err
		}
		defer r.crash()
	}
	if err := b.startNodes(graceNodes); err != nil {
		return false, err
	}
	grace := graceSeconds * time.Second
	if b.trouble {
		grace = changedGraceSeconds * time.Second
		for _, n := range b.fleet.nodes[:changedNodes] {
			if err := n.setGrace(grace); err != nil {
				return false, err
			}
			if err := n.command.Process.Signal(syscall.SIGHUP); err != nil {
				return false, err
			}
			b.record.printf("the settings of %s state a grace period of %v; SIGHUP sent", n.name, grace)
			time.Sleep(hupGap)
		}
	}
	time.Sleep(graceSettle)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { b.sendToAll("/orders/", graceLoad, stop) })
	time.Sleep(2 * time.Second)
	var stops []stopped
	for _, n := range b.fleet.nodes[:changedNodes] {
		s := stopped{node: n.caller, term: time.Now()}
		b.record.printf("SIGTERM sent to %s", n.name)
		if err := n.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		select {
		case <-n.exited:
			b.record.printf("%s has ended %v after the SIGTERM", n.name, time.Since(s.term).Round(time.Millisecond))
		case <-time.After(grace):
			_ = n.command.Process.Kill() // It may have ended just now.
			<-n.exited
			b.record.printf("SIGKILL sent to %s %v after the SIGTERM", n.name, time.Since(s.term).Round(time.Millisecond))
		}
		s.end = time.Now()
		stops = append(stops, s)
		time.Sleep(time.Second)
		if err := b.fleet.start(n); err != nil {
			return false, err
		}
		time.Sleep(graceSettle)
	}
	close(stop)
	sending.Wait()
	return b.checkStops(stops), nil
}

// stopped is a planned stop of a node.
type stopped struct {
	node      string
	term, end time.Time
}

// checkStops checks LOST around planned stops. It counts only requests sent later than lateSend after the SIGTERM.
func (b *bench) checkStops(stops []stopped) bool {
	arrived := make(map[string]bool)
	b.journal.mutex.Lock()
	for _, a := range b.journal.arrivals {
		arrived[a.id] = true
	}
	lost, excused := 0, 0
	for id, got := range b.journal.answers {
		for _, s := range stops {
			if got.node != s.node || got.status != 0 || !arrived[id] || got.sent.Before(s.term) || got.sent.After(s.end) {
				continue
			}
			after := got.sent.Sub(s.term).Round(time.Millisecond)
			if after <= lateSend {
				excused++
				continue
			}
			lost++
			b.record.printf("LOST: %s was sent %v after the SIGTERM and passed on to a replica; its connection ended without an answer", id, after)
		}
	}
	b.journal.mutex.Unlock()
	b.record.printf("result: %d requests lost, and %d more that were sent earlier", lost, excused)
	fmt.Printf("%d requests lost, and %d more that were sent earlier\n", lost, excused)
	return lost > 0
}

// setGrace replaces the grace period in the settings file of a node.
func (n *node) setGrace(grace time.Duration) error {
	data, err := os.ReadFile(n.settings)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		return err
	}
	settings["grace"] = grace.String()
	if data, err = json.Marshal(settings); err != nil {
		return err
	}
	return os.WriteFile(n.settings, data, 0o600)
}

// sendToAll sends requests at random times at a mean rate. Some clients keep the answers of the directory longer.
func (b *bench) sendToAll(path string, perSecond float64, stop <-chan struct{}) {
	var groups []*clients
	for i := range graceClients {
		group := &clients{fleet: b.fleet, record: b.record, journal: b.journal, prefix: fmt.Sprintf("c%d", i), hold: 1}
		if i%heldEach == 0 {
			group.hold = heldFactor
		}
		groups = append(groups, group)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for at := time.Now(); ; at = at.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		select {
		case <-stop:
			for _, group := range groups {
				group.pending.Wait()
			}
			return
		case <-time.After(time.Until(at)):
		}
		groups[random.IntN(len(groups))].send(http.MethodPost, path, clientDeadline, []byte("order"))
	}
}
