package linker

import (
	"context"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// acceptor implements the server side of the Link service: it serves the streams that other
// hosts open.
type acceptor struct {
	linker *Linker
}

// Exchange reads the messages of one host and writes the replies to them. Each heartbeat
// is answered with a heartbeat, so that the peer sees that the stream works in both
// directions.
func (a *acceptor) Exchange(stream messenger.DRPCLink_ExchangeStream) error {
	outbound := queuer.New[*wigeonspindle.Envelope](outboundQueueCapacity)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(a.linker.ctx, cancel)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.write(ctx, stream, outbound)
		cancel()
	}()
	err := a.read(stream, outbound)
	cancel()
	<-done
	return err
}

func (a *acceptor) read(stream messenger.DRPCLink_ExchangeStream, outbound *queuer.Ring[*wigeonspindle.Envelope]) error {
	peerName, heartbeats := "", &heartbeatDecoder{}
	reply := func(message wigeonspindle.Envelope) bool { return outbound.Offer(&message) }
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			if name := heartbeat.GetHost().GetName(); name != "" {
				peerName = name
			}
			answer := a.linker.Heartbeat()
			outbound.Offer(&wigeonspindle.Envelope{Heartbeat: &answer})
		}
		if err := a.linker.deliver(frame, peerName, heartbeats, reply); err != nil {
			a.linker.Logger.Warn("dropped invalid message", "peer", peerName, "error", err)
		}
	}
}

func (a *acceptor) write(ctx context.Context, stream messenger.DRPCLink_ExchangeStream, outbound *queuer.Ring[*wigeonspindle.Envelope]) {
	heartbeats := &heartbeatEncoder{}
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-outbound.C():
			if message.Heartbeat != nil {
				encoded := heartbeats.omitUnchanged(*message.Heartbeat)
				message.Heartbeat = &encoded
			}
			frame, err := a.linker.encode(*message)
			if err != nil {
				a.linker.Logger.Warn("dropped reply that cannot be encoded", "error", err)
				continue
			}
			if err := stream.Send(frame); err != nil {
				return
			}
		}
	}
}
