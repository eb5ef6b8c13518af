package converter

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
)

// EncodeUpdates encodes registry updates for another host. Times are sent as remaining time,
// because the clocks of hosts differ.
func EncodeUpdates(updates []wigeonspindle.RegistryUpdate, now time.Time) ([]*messenger.Believed, error) {
	encoded := make([]*messenger.Believed, 0, len(updates))
	for i := range updates {
		update := &updates[i]
		entry := &messenger.Believed{Subject: uint32(update.Subject), Name: update.Name, Gone: update.Removed}
		if update.Catalog != nil {
			catalog, err := json.Marshal(update.Catalog)
			if err != nil {
				return nil, errors.Wrap(err, "encode catalog")
			}
			entry.Catalog = catalog
		}
		if replica := update.Replica; replica != nil {
			entry.Replica = &messenger.Known{
				Id: replica.ID, Pool: replica.Pool, Address: replica.Address, Domain: replica.Domain, Slots: uint32(replica.Slots),
				Draining: replica.Draining, Cold: int64(max(replica.WarmAt.Sub(now), 0)), Born: replica.StartUnixMs, Sequence: replica.Sequence,
			}
		}
		if update.Subject == wigeonspindle.SubjectPeer && !update.Removed {
			entry.Peer = &messenger.Fellow{
				Name: update.Peer.Name, Caller: update.Peer.CallerAddress, Link: update.Peer.LinkAddress, Domain: update.Peer.Domain, Capacity: update.Peer.Capacity,
			}
		}
		if update.Subject == wigeonspindle.SubjectSuspicion && !update.Removed {
			entry.Suspicion = encodeSuspicion(update.Suspicion, now)
		}
		encoded = append(encoded, entry)
	}
	return encoded, nil
}

// DecodeUpdates decodes registry updates that another host sent. Updates with an unknown
// subject are skipped.
func DecodeUpdates(encoded []*messenger.Believed, now time.Time) ([]wigeonspindle.RegistryUpdate, error) {
	updates := make([]wigeonspindle.RegistryUpdate, 0, len(encoded))
	for _, entry := range encoded {
		if entry.GetSubject() > uint32(wigeonspindle.SubjectSuspicion) {
			continue // The sender may run a newer version with more subjects.
		}
		update := wigeonspindle.RegistryUpdate{Subject: wigeonspindle.Subject(entry.GetSubject()), Name: entry.GetName(), Removed: entry.GetGone()}
		if len(entry.GetCatalog()) > 0 {
			update.Catalog = &wigeonspindle.Catalog{}
			if err := json.Unmarshal(entry.GetCatalog(), update.Catalog); err != nil {
				return nil, errors.Wrap(err, "decode catalog")
			}
		}
		if replica := entry.GetReplica(); replica != nil {
			update.Replica = &wigeonspindle.Replica{
				ID: replica.GetId(), Pool: replica.GetPool(), Address: replica.GetAddress(), Domain: replica.GetDomain(), Slots: int(replica.GetSlots()),
				Draining: replica.GetDraining(), StartUnixMs: replica.GetBorn(), Sequence: replica.GetSequence(),
			}
			if replica.GetCold() > 0 {
				update.Replica.WarmAt = now.Add(time.Duration(replica.GetCold()))
			}
		}
		if peer := entry.GetPeer(); peer != nil {
			update.Peer = wigeonspindle.Peer{
				Name: peer.GetName(), CallerAddress: peer.GetCaller(), LinkAddress: peer.GetLink(), Domain: peer.GetDomain(), Capacity: peer.GetCapacity(),
			}
		}
		if suspicion := entry.GetSuspicion(); suspicion != nil {
			update.Suspicion = *decodeSuspicion(suspicion, now)
		}
		updates = append(updates, update)
	}
	return updates, nil
}
