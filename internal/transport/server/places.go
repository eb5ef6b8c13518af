package server

import (
	"maps"
	"net"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/coordination/evictor"
)

// displacedLogInterval is the least time between two log lines about displaced connections. A crowd
// of clients may lose thousands a second.
const displacedLogInterval = time.Second

// placeListener accepts connections for a Listener. While all places are taken, a connection that
// waits for its client gives way to the new one, or the new one waits.
type placeListener struct {
	net.Listener
	owner *Listener
}

// Accept implements net.Listener.
func (p *placeListener) Accept() (net.Conn, error) {
	connection, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	client := &clientConn{Conn: connection, listener: p.owner, roundTrip: tcpRoundTrip(connection)}
	if !p.owner.takePlace(client) {
		_ = connection.Close() // Nothing was read from it.
		return nil, net.ErrClosed
	}
	return client, nil
}

// takePlace waits until a connection has a place. It returns false when the listener is closing.
func (l *Listener) takePlace(client *clientConn) bool {
	for {
		victim, wait, ok := l.tryPlace(client)
		if ok {
			return true
		}
		if victim != nil {
			_ = victim.Close() // An error means that it is closed already.
			continue
		}
		var retry <-chan time.Time
		if wait > 0 {
			retry = time.After(wait)
		}
		select {
		case <-l.freed:
		case <-retry:
		case <-l.closing:
			return false
		}
	}
}

// tryPlace takes a free place. If there is none, it returns the connection that gives way, or the time
// until one may, or 0 when none may.
func (l *Listener) tryPlace(client *clientConn) (victim *clientConn, wait time.Duration, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if len(l.places) < l.Connections {
		client.Since = now
		l.places[&client.Place] = client
		return nil, 0, true
	}
	place, wait := evictor.ChoosePlace(maps.Keys(l.places), now)
	if place == nil {
		return nil, wait, false
	}
	victim = l.places[place]
	victim.displaced = true
	delete(l.places, place)
	l.logDisplaced(place, now)
	return victim, 0, false
}

// logDisplaced counts a displaced connection and logs the number of those since the last line.
func (l *Listener) logDisplaced(place *evictor.Place, now time.Time) {
	l.displaced++
	if l.OnDisplaced != nil {
		l.OnDisplaced()
	}
	if now.Sub(l.displacedLoggedAt) < displacedLogInterval {
		return
	}
	l.Logger.Warn("connections closed for new ones: all places are taken", "listener", l.Name, "places", l.Connections, "closed", l.displaced,
		"last_stage", place.Stage, "last_waited", now.Sub(place.Since))
	l.displaced, l.displacedLoggedAt = 0, now
}

// release frees the place of a connection.
func (l *Listener) release(client *clientConn) {
	l.mutex.Lock()
	delete(l.places, &client.Place)
	l.mutex.Unlock()
	select {
	case l.freed <- struct{}{}:
	default: // A signal is pending.
	}
}

// setStage records what a connection waits for. It returns false if the connection has given way.
func (l *Listener) setStage(client *clientConn, stage evictor.Stage) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	client.Stage, client.Since = stage, time.Now()
	return !client.displaced
}
