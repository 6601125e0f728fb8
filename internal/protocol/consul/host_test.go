package consul_test

import (
	"testing"

	"forkhead"
	"forkhead/internal/protocol/consul"
)

// Entries without a name, an address, a valid port or a machine type are skipped with a message each. Metadata that is
// not valid counts as 0, a warning does not make a host drain, and a response that is not JSON is an error.
func TestDecodeSkipsUnusableEntries(t *testing.T) {
	hosts, skipped, err := consul.Decode([]byte(`[
	  {"Node":{"Node":"a","Address":"127.0.0.1","Meta":{"kind":"k","label-disk":"ssd"}},"Service":{"Port":1,"Meta":{"free-cores":"NaN","started":"-5"}},"Checks":[{"Status":"warning"}]},
	  {"Node":{"Node":"b","Address":"127.0.0.1","Meta":{"kind":"k"}},"Service":{"Port":70000}},
	  {"Node":{"Node":"c","Address":"127.0.0.1"},"Service":{"Port":1}},
	  {"Node":{"Address":"127.0.0.1","Meta":{"kind":"k"}},"Service":{"Port":1}},
	  {"Node":{"Node":"d","Meta":{"kind":"k"}},"Service":{"Port":1}}]`))
	if err != nil || len(hosts) != 1 || len(skipped) != 4 {
		t.Fatalf("Decode = hosts %+v, skipped %q, error %v; want 1 host, 4 skipped entries, no error", hosts, skipped, err)
	}
	if h := hosts[0]; h.FreeCores != 0 || h.Started != 0 || h.State != forkhead.Ready || h.Attributes["label.disk"] != "ssd" {
		t.Fatalf("Decode: got host %+v, want 0 free cores, start 0, state Ready and label.disk ssd", h)
	}
	if _, _, err := consul.Decode([]byte(`{"a":`)); err == nil {
		t.Fatal("Decode({\"a\":) of an incomplete response: got no error, want one")
	}
}
