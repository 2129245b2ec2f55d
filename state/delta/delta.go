// Package delta encodes a document by what differs from an earlier one that the receiver has, with Zstandard (RFC 8878):
// the earlier document is the dictionary. The size of the result follows what has changed, and a document is
// compressed as a whole if there is no earlier one.
package delta

import (
	"bytes"
	"crypto/sha256"
	"math/bits"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
)

// MaxSize bounds a document, in bytes. The platform's store holds smaller ones.
const MaxSize = 16 << 20

const (
	// dictionaryID names the earlier document in the encoded form.
	dictionaryID = 1
	// minWindow and maxWindow bound how far back the encoder looks for what it has seen, in bytes. The memory that it
	// takes grows with that.
	minWindow = 64 << 10
	maxWindow = 16 << 20
)

var (
	// ErrTooLarge is returned for a document of more than MaxSize bytes.
	ErrTooLarge = merry.New("document is too large to be passed on")
	// ErrCorrupt is returned if what was received does not decode to the document with the given digest, for
	// example because the earlier document is not the one that it was encoded against.
	ErrCorrupt = merry.New("received document does not have the expected digest")
)

// Digest identifies a document.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a document.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// window returns the window for an encoder: all of both documents, if that is not too much.
func window(base, data []byte) int {
	return min(max(1<<bits.Len(uint(len(base)+len(data))), minWindow), maxWindow)
}

// Encode returns a document as what differs from base, which is empty if the receiver has none. It returns ErrTooLarge
// for a document that Decode would refuse.
func Encode(base, data []byte) ([]byte, error) {
	if len(data) > MaxSize || len(base) > MaxSize {
		return nil, ErrTooLarge
	}
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window(base, data))}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return encoder.EncodeAll(data, nil), nil
}

// Decode returns the document that Encode was given, from the same base. It returns ErrCorrupt if the result does not
// have the digest.
func Decode(base, encoded []byte, digest Digest) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxSize), zstd.WithDecoderMaxWindow(2 * maxWindow)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	if sum := DigestOf(data); !bytes.Equal(sum[:], digest[:]) {
		return nil, ErrCorrupt
	}
	return data, nil
}
