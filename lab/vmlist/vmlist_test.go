package vmlist

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a list that shows a change before the lag has passed.
func TestLag(t *testing.T) {
	is := is.New(t)
	s, err := Listen("127.0.0.1:0", time.Hour)
	is.NoErr(err)
	defer s.Close()
	s.Put(VM{Name: "vm1", Zone: "a", State: StateLive})
	is.Equal(len(s.Listing().VMs), 0)
	s.SetLag(0)
	is.Equal(len(s.Listing().VMs), 1)
	s.Remove("vm1")
	is.Equal(len(s.Listing().VMs), 0)
}
