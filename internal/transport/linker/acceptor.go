package linker

import (
	"context"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// acceptor serves the streams that other hosts open.
type acceptor struct {
	linker *Linker
}

// Exchange reads the messages of one host and writes the answers to them. Each heartbeat
// is answered with one, so that the peer sees that the stream works in both directions.
func (a *acceptor) Exchange(stream messenger.DRPCLink_ExchangeStream) error {
	out := queuer.New[*wigeonspindle.Envelope](outSize)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(a.linker.ctx, cancel)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.write(ctx, stream, out)
		cancel()
	}()
	err := a.read(stream, out)
	cancel()
	<-done
	return err
}

func (a *acceptor) read(stream messenger.DRPCLink_ExchangeStream, out *queuer.Ring[*wigeonspindle.Envelope]) error {
	from, beats := "", &heartbeatReader{}
	reply := func(message wigeonspindle.Envelope) bool { return out.Offer(&message) }
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			if name := heartbeat.GetHost().GetName(); name != "" {
				from = name
			}
			answer := a.linker.Heartbeat()
			out.Offer(&wigeonspindle.Envelope{Heartbeat: &answer})
		}
		if err := a.linker.deliver(frame, from, beats, reply); err != nil {
			a.linker.Logger.Warn("message dropped", "peer", from, "error", err)
		}
	}
}

func (a *acceptor) write(ctx context.Context, stream messenger.DRPCLink_ExchangeStream, out *queuer.Ring[*wigeonspindle.Envelope]) {
	beats := &heartbeatWriter{}
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-out.C():
			if message.Heartbeat != nil {
				short := beats.shorten(*message.Heartbeat)
				message.Heartbeat = &short
			}
			frame, err := a.linker.encode(*message)
			if err != nil {
				a.linker.Logger.Warn("answer dropped", "error", err)
				continue
			}
			if err := stream.Send(frame); err != nil {
				return
			}
		}
	}
}
