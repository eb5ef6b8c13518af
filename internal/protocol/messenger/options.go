package messenger

import (
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// maxMessage bounds one message, in bytes. The configuration of 13,000 targets takes 2.3 MB, which
// is too near the 4 MB that drpc allows by default; the beliefs about as many take 1.5 MB.
const maxMessage = 16 << 20

// Options returns the options of drpc connections between hosts.
func Options() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}
