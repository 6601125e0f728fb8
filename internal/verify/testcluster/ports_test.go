package testcluster

import "testing"

// A server starts some time after it got its address. If freeAddress returned the port to another server meanwhile, one
// of the two could not listen.
func TestFreeAddressReturnsNoPortTwice(t *testing.T) {
	given := map[string]bool{}
	for i := range 1000 {
		address, err := freeAddress([]string{"tcp", "udp"}[i%2])
		if err != nil {
			t.Fatal(err)
		}
		if given[address] {
			t.Fatalf("call %d of freeAddress returned %s, want an address that no earlier call returned", i+1, address)
		}
		given[address] = true
	}
}
