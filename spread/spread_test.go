package spread

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestCurrentDocumentAcceptsOnlyHigherRevisions(t *testing.T) {
	cases := []struct {
		offered []uint64
		want    uint64
	}{
		{[]uint64{1}, 1},
		{[]uint64{1, 2}, 2},
		{[]uint64{2, 1}, 2},
		{[]uint64{3, 3}, 3},
		{[]uint64{5, 1, 7, 6}, 7},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.offered), func(t *testing.T) {
			is := is.New(t)
			var document CurrentDocument
			for _, revision := range c.offered {
				before := document.Revision()
				is.Equal(document.Offer(revision, fmt.Append(nil, revision)), revision > before)
			}
			is.Equal(document.Revision(), c.want)
			is.Equal(string(document.Data()), fmt.Sprint(c.want))
		})
	}
}

func TestWatches(t *testing.T) {
	is := is.New(t)
	ids := []string{}
	for i := range 40 {
		ids = append(ids, fmt.Sprint("process ", i))
	}
	watching := 0
	for _, id := range ids {
		if Watches(id, ids, 3) {
			watching++
		}
	}
	is.Equal(watching, 3)
	watchers := Watchers(ids, 3)
	is.Equal(len(watchers), 3)
	for _, id := range watchers {
		is.True(Watches(id, ids, 3))
	}
	is.Equal(Watchers(ids, 1)[0], watchers[0])
	is.Equal(len(Watchers(ids[:2], 3)), 2)
	is.True(Watches("alone", nil, 3))
	is.True(Watches("alone", []string{"alone"}, 1))
	is.True(!Watches("leaving", ids, 3)) // not in the list of live processes
}

func ExampleCurrentDocument() {
	var document CurrentDocument
	document.Offer(2, []byte("new"))
	fmt.Println(document.Offer(1, []byte("old")), string(document.Data()))
	// Output: false new
}
