package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"plantainwinch/winch"
)

// NewKey returns a random key and its record. The record's role, holder and time
// of issue are left to the caller. A key consists of the record's ID, a dot and a
// secret; the record stores only the hash of the whole key.
func NewKey() (string, winch.Key) {
	id := "K" + rand.Text()[:10]
	key := id + "." + rand.Text()
	return key, winch.Key{ID: id, Hash: HashKey(key)}
}

// HashKey returns the SHA-256 hash of a key in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FindKey returns the record of a presented key and reports whether the key is
// valid. The hashes are compared in constant time, so that response times reveal
// nothing about a stored hash.
func FindKey(doc *winch.Document, presented string) (winch.Key, bool) {
	id, _, _ := strings.Cut(presented, ".")
	rec, ok := doc.Keys[id]
	same := subtle.ConstantTimeCompare([]byte(rec.Hash), []byte(HashKey(presented))) == 1
	return rec, ok && same
}
