package delta_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"plantainwinch/state/delta"
)

func Example() {
	before := []byte(`{"queues": ["preview", "mix"], "version": 1}`)
	after := []byte(`{"queues": ["preview", "mix", "master"], "version": 2}`)
	encoded, err := delta.Encode(before, after)
	if err != nil {
		fmt.Println(err)
		return
	}
	received, err := delta.Decode(before, encoded, delta.DigestOf(after))
	fmt.Println(string(received), err)
	// Output: {"queues": ["preview", "mix", "master"], "version": 2} <nil>
}

// document returns a document with that many lines; those of a smaller one are the first of a larger one.
func document(version, lines int) []byte {
	r := rand.New(rand.NewPCG(7, 1))
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for range lines {
		fmt.Fprintf(&b, `{"name":"r-%08x","host":"choir.example","prefix":"/%08x/","timeout-ms":3000,"priority":0,"service":"render","max-attempts":4,"stretch":1.5,"advice":{"decide-ms":26.0,"period-ms":0.38,"valid-ms":2500},"public":false},`, r.Uint32(), r.Uint32())
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// Guards against copies whose size follows that of the document and not that of the change.
func TestSizeFollowsTheChange(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		before, after int
		most          int // most is the largest encoded size, in bytes.
	}{
		{45, 46, 500},
		{45, 1445, 1400 * 16},
		{1445, 1446, 500},
		{4245, 4246, 1000},
		{20000, 20001, 4000},
	} {
		t.Run(fmt.Sprint(c.before, c.after), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			before, after := document(7, c.before), document(9, c.after)
			encoded, err := delta.Encode(before, after)
			is.NoErr(err)
			t.Log(len(after), "bytes as", len(encoded))
			is.True(len(encoded) <= c.most)
			decoded, err := delta.Decode(before, encoded, delta.DigestOf(after))
			is.NoErr(err)
			is.True(bytes.Equal(decoded, after))
		})
	}
}

// Guards against a document that was put together from another earlier one than it was encoded against.
func TestOtherBaseIsFound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	before, after := document(7, 100), document(9, 101)
	other := bytes.ReplaceAll(before, []byte("choir"), []byte("opera"))
	encoded, err := delta.Encode(before, after)
	is.NoErr(err)
	for _, base := range [][]byte{other, nil} {
		_, err = delta.Decode(base, encoded, delta.DigestOf(after))
		is.True(errors.Is(err, delta.ErrCorrupt))
	}
	_, err = delta.Encode(nil, make([]byte, delta.MaxSize+1))
	is.True(errors.Is(err, delta.ErrTooLarge))
}

func FuzzDecode(f *testing.F) {
	before, after := document(1, 3), document(2, 4)
	encoded, err := delta.Encode(before, after)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(before, encoded, after)
	f.Add([]byte{}, []byte{}, []byte{})
	f.Fuzz(func(t *testing.T, base, encoded, data []byte) {
		if got, err := delta.Decode(base, encoded, delta.DigestOf(data)); err == nil && !bytes.Equal(got, data) {
			t.Error("decoded to a document with another digest")
		}
		again, err := delta.Encode(base, data)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := delta.Decode(base, again, delta.DigestOf(data)); err != nil || !bytes.Equal(got, data) {
			t.Errorf("a document does not decode to itself: %v", err)
		}
	})
}
