package region

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/state/delta"
)

// fetchParts fetches a version from a history as a peer with the given version does; nil if that fails.
func fetchParts(h *history, version, have uint64, base []byte) []byte {
	e := new(encodedConfig)
	for {
		part := h.part(version, have, len(e.data))
		if !e.append(part, have) {
			return nil
		}
		if len(e.data) == part.Size {
			break
		}
	}
	if e.base == 0 {
		base = nil
	}
	data, err := delta.Decode(base, e.data, e.digest)
	if err != nil {
		return nil
	}
	return data
}

// Guards against peers that get no configuration, or another one than they ask for, from an entry that does not have their
// version any more, or that several peers with different versions ask at once.
func TestPartsOfAConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := new(history)
	var stored [][]byte
	const versions = keptVersions + 2
	for v := range uint64(versions) {
		stored = append(stored, mustJSON(largeConfig(v+1, largeConfigQueues+int(v))))
		h.add(v+1, stored[v])
	}
	is.Equal(h.previous(), uint64(versions-1))
	var group conc.WaitGroup
	fetched := make([][]byte, versions)
	for have := range uint64(versions) {
		group.Go(func() {
			base := []byte(nil)
			if have > 0 {
				base = stored[have-1]
			}
			fetched[have] = fetchParts(h, versions, have, base)
		})
	}
	group.Wait()
	for _, data := range fetched {
		is.True(bytes.Equal(data, stored[versions-1]))
	}
	is.Equal(h.part(1, 0, 0), nil)                             // dropped
	is.Equal(h.part(versions, versions-1, 1<<20), nil)         // beyond the end
	is.Equal(h.part(versions, versions-1, -1), nil)            // before the beginning
	is.True(h.part(versions, versions-1, 0).Size < 1000)       // one queue more
	is.True(h.part(versions, 1, 0).Size > largeConfigQueues*8) // the whole
}
