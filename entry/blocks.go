package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lookup"
)

// blockLoader loads the table of client blocks from the object store. A client block is a range of client addresses
// with its place.
type blockLoader struct{ d *Daemon }

const (
	// ClientBlocksObject is the name of the object that holds the table of client blocks.
	ClientBlocksObject = "blocks/current"
	// blocksInterval is the interval between reads of the table. Client blocks change only when the networks of callers
	// do, so a new table is not urgent.
	blocksInterval = 10 * time.Minute
)

// Name implements kernel.Service.
func (b *blockLoader) Name() string { return "blocks" }

// Dump implements kernel.Service.
func (b *blockLoader) Dump(time.Time) any {
	t := b.d.blocks.Load()
	if t == nil {
		return map[string]int{"blocks": 0}
	}
	return map[string]int{"blocks": t.Len(), "bytes": t.MemoryBytes()}
}

// Run loads the table at the start and then once in each interval until ctx is done. If the table can't be loaded, the
// previous one stays in use.
func (b *blockLoader) Run(ctx context.Context) error {
	for {
		kernel.Guard(b.d.logger, "client-blocks", func() {
			if t, err := b.load(ctx); err == nil {
				b.d.blocks.Store(t)
			} else if kinds.Of(err) != kinds.NotFound {
				level.Warn(b.d.logger).Log("event", "client-blocks", "err", err)
			}
		})
		t := time.NewTimer(blocksInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (b *blockLoader) load(ctx context.Context) (*lookup.Table, error) {
	body, err := b.d.store.GetObject(ctx, ClientBlocksObject)
	if err != nil {
		return nil, err
	}
	return lookup.Read(bytes.NewReader(body))
}
