package messenger

import (
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// maxMessageBytes is the largest message. The configuration of 13,000 targets takes 2.3 MB,
// which is too close to the DRPC default of 4 MB; the registry entries of as many replicas
// take 1.5 MB.
const maxMessageBytes = 16 << 20

// maxFollowBytes bounds a request for the state of the registry, which takes less than 100 bytes. A
// connection keeps an incomplete message until it ends.
const maxFollowBytes = 16 << 10

// Options returns the options of the DRPC connections between hosts.
func Options() drpcmanager.Options { return options(maxMessageBytes) }

// RelayServerOptions returns the options of a server of the Relay service, which receives only small
// messages.
func RelayServerOptions() drpcmanager.Options { return options(maxFollowBytes) }

func options(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes}}
}
