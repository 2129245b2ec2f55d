package region

import (
	"slices"
	"sync"

	"plantainwinch/proto"
	"plantainwinch/state/delta"
)

const (
	// keptVersions is how many versions of the configuration an entry keeps, to send others what differs from them.
	keptVersions = 4
	// keptEncodings is how many encoded configurations an entry keeps while others fetch their parts.
	keptEncodings = 6
	// partBytes is the length of a part. On a link of 2 Mbit/s it takes 65 ms.
	partBytes = 16 << 10
)

// history holds the last versions of the configuration and, encoded, what peers ask for.
type history struct {
	// encoding lets one configuration be encoded at a time, which takes long on a small processor. mu is not held meanwhile.
	encoding  sync.Mutex
	mu        sync.Mutex
	versions  []storedConfig // versions are in ascending order.
	encodings []*encodedConfig
}

// storedConfig is a version of the configuration as stored.
type storedConfig struct {
	version uint64
	data    []byte
}

// encodedConfig is a version of the configuration in encoded form.
type encodedConfig struct {
	version, base uint64
	data          []byte
	digest        delta.Digest
}

// add keeps a version, which is newer than those before.
func (h *history) add(version uint64, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, storedConfig{version, data})
	if extra := len(h.versions) - keptVersions; extra > 0 {
		h.versions = slices.Delete(h.versions, 0, extra)
	}
}

// previous returns the version before the newest one, or zero.
func (h *history) previous() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) < 2 {
		return 0
	}
	return h.versions[len(h.versions)-2].version
}

// data returns a version as stored, or nil. The caller holds the mutex.
func (h *history) data(version uint64) []byte {
	for _, v := range h.versions {
		if v.version == version {
			return v.data
		}
	}
	return nil
}

// keep stores an encoded configuration, such as one that was received, for peers that ask for the same. The one that was
// used the longest time ago goes.
func (h *history) keep(e *encodedConfig) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.encodings = append(h.encodings, e)
	if extra := len(h.encodings) - keptEncodings; extra > 0 {
		h.encodings = slices.Delete(h.encodings, 0, extra)
	}
}

// find returns what is kept of a version: encoded as what differs from base, or complete if this entry does not have the
// base; else both as stored, nil if this entry does not have them.
func (h *history) find(version, base uint64) (e *encodedConfig, data, from []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, from = h.data(version), h.data(base)
	for i, e := range h.encodings {
		if e.version == version && (e.base == base || e.base == 0 && from == nil) {
			h.encodings = append(slices.Delete(h.encodings, i, i+1), e)
			return e, data, from
		}
	}
	return nil, data, from
}

// encoded returns a version as what differs from base, or complete if this entry does not have the base; nil if it does
// not have the version.
func (h *history) encoded(version, base uint64) *encodedConfig {
	if e, _, _ := h.find(version, base); e != nil {
		return e
	}
	h.encoding.Lock()
	defer h.encoding.Unlock()
	e, data, from := h.find(version, base)
	if e != nil || data == nil {
		return e
	}
	if from == nil {
		base = 0
	}
	encoded, err := delta.Encode(from, data)
	if err != nil {
		return nil // It is too large to be passed on, and is read from the store.
	}
	e = &encodedConfig{version: version, base: base, data: encoded, digest: delta.DigestOf(data)}
	h.keep(e)
	return e
}

// part returns the part of a version that begins at an offset, or nil if this entry does not have it.
func (h *history) part(version, base uint64, offset int) *proto.SettingsPart {
	e := h.encoded(version, base)
	if e == nil || offset < 0 || offset >= len(e.data) {
		return nil
	}
	return &proto.SettingsPart{
		Version: e.version, Base: e.base, Offset: offset, Size: len(e.data),
		Data: e.data[offset:min(offset+partBytes, len(e.data))], Digest: e.digest[:],
	}
}
