package testcluster

import "testing"

// A port may be given out some time before its server starts, so nobody else gets it meanwhile.
func TestFreeAddressGivesNoPortTwice(t *testing.T) {
	given := map[string]bool{}
	for i := range 1000 {
		address, err := freeAddress([]string{"tcp", "udp"}[i%2])
		if err != nil {
			t.Fatal(err)
		}
		if given[address] {
			t.Fatalf("%s is given out twice in %d calls", address, i+1)
		}
		given[address] = true
	}
}
