package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// machineMB is the memory of a machine of the small deployments, and machineFiles its descriptors.
	machineMB, machineFiles = 206, 2870
	// legalHeader and legalBody are the limits that the configuration gives to clients, in bytes.
	legalHeader, legalBody = 16384, 262144
	// crowdSize is the number of clients of the crowd.
	crowdSize = 1000
	// crowdChunk is the size of the chunks in which a client of the crowd sends its body, and crowdChunks their number. The
	// body stops just short of its end: the last chunk is missing.
	crowdChunk, crowdChunks = 100, 80
	// crowdPeriod is how long the crowd stays, and restartDelay the time until the platform starts a process again.
	crowdPeriod  = 20 * time.Second
	restartDelay = 500 * time.Millisecond
	// authority is the host name that clients ask for.
	authority = "pupu76.example"
)

// crowdRequest returns a request with a header of the largest legal size, made of many short fields, and a chunked body that
// stops just short of its end.
func crowdRequest(client int) []byte {
	request := []byte("POST /order/x HTTP/1.1\r\n")
	start := len(request)
	request = fmt.Appendf(request, "Host: %s\r\nX-Request-Id: c%015x\r\nTransfer-Encoding: chunked\r\n", authority, client)
	for i := 0; len(request)-start < legalHeader-32; i++ {
		request = fmt.Appendf(request, "x%x: 1\r\n", i)
	}
	request = append(request, "\r\n"...)
	for range crowdChunks {
		request = fmt.Appendf(request, "%x\r\n%s\r\n", crowdChunk, strings.Repeat("w", crowdChunk))
	}
	return request
}

// playHeaders shows what a crowd of clients with legal headers of many fields does to the memory of a host.
func playHeaders(s *scene) int {
	platform, err := newStore()
	if err != nil {
		return s.failed(err)
	}
	defer platform.close()
	platform.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "order-fetch", "host": authority, "path_prefix": "/order/", "route_type": "idempotent", "timeout_ms": 4000,
			"target_latency_ms": 250, "priority": 2, "service": "commissions", "max_attempts": 2,
		}},
		"services": []any{serviceEntry("commissions", 192, 0)},
		"limits":   configLimits(),
	})
	for i := range 7 {
		r := &replica{
			id: fmt.Sprintf("i-%08x", 0x51a0+i), service: "commissions", zone: "bc-coast-a", store: platform, slots: 2,
			work: func(string) time.Duration { return 60 * time.Millisecond },
			body: func(string) []byte { return []byte(strings.Repeat("r", 3000)) },
		}
		if err := r.start(); err != nil {
			return s.failed(err)
		}
		defer r.close()
	}
	h, err := startHost(hostSpec{name: "frontend-bc-coast-a-1", zone: "bc-coast-a", memory: machineMB, files: machineFiles}, platform.addr, s.folder)
	if err != nil {
		return s.failed(err)
	}
	defer h.kill()
	ordinary := newClient("bc-coast-a", authority, []*host{h})
	if !waitFor(10*time.Second, func() bool {
		return ordinary.attempt(http.MethodGet, "/order/y", "", 2*time.Second).status == http.StatusOK
	}) {
		return s.failed(fmt.Errorf("the host does not serve"))
	}
	time.Sleep(2 * time.Second)
	calm := h.residentMB()
	s.rec.line("the host serves; resident memory %.0f MB", calm)
	stop := make(chan struct{})
	var served, refused, unanswered atomic.Int64
	go load(22.5, stop, func() {
		for _, o := range ordinary.call("/order/y", 4*time.Second) {
			switch {
			case o.status == http.StatusOK:
				served.Add(1)
			case o.status == 0:
				unanswered.Add(1)
			default:
				refused.Add(1)
			}
		}
	})
	var open, answered atomic.Int64
	if s.trouble {
		s.rec.line("%d clients send a header of at most %d bytes and %d chunks of %d bytes, then stop short of the last chunk and stay open", crowdSize, legalHeader, crowdChunks, crowdChunk)
		for i := range crowdSize {
			go playCrowdClient(h.caller, i, stop, &open, &answered)
		}
	}
	worst, ends := 0.0, 0
	for end := time.Now().Add(crowdPeriod); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resident := h.residentMB()
		if resident > worst {
			worst = resident
			s.rec.line("resident memory %.0f MB of %d; open connections of the crowd %d, answers to it %d", resident, machineMB, open.Load(), answered.Load())
		}
		if resident <= machineMB && h.alive() {
			continue
		}
		ends++
		s.rec.line("the platform kills the process, which has %.0f MB of %d, and starts it again", resident, machineMB)
		h.kill()
		time.Sleep(restartDelay)
		if err := h.run(s.folder); err != nil {
			return s.failed(err)
		}
	}
	close(stop)
	time.Sleep(time.Second)
	s.rec.line("ordinary requests: served %d, refused %d, without an answer %d", served.Load(), refused.Load(), unanswered.Load())
	s.rec.line("largest resident memory %.0f MB, limit of the machine %d MB; the process ended %d times", worst, machineMB, ends)
	if ends > 0 {
		return broken
	}
	return held
}

// playCrowdClient sends a request whose body does not end, stays, and comes back when the host has closed the connection.
func playCrowdClient(address string, number int, stop <-chan struct{}, open, answered *atomic.Int64) {
	request := crowdRequest(number)
	for range 100 {
		conn, err := net.DialTimeout("tcp", address, 2*time.Second)
		if err == nil {
			open.Add(1)
			_, _ = conn.Write(request) // The host may refuse it before its end.
			_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
			if answer, _ := io.ReadAll(conn); len(answer) > 0 {
				answered.Add(1)
			}
			_ = conn.Close()
			open.Add(-1)
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
