package consul_test

import (
	"testing"

	"forkhead"
	"forkhead/internal/protocol/consul"
)

func TestDecodeSkipsUnusableEntries(t *testing.T) {
	hosts, skipped, err := consul.Decode([]byte(`[
	  {"Node":{"Node":"a","Address":"127.0.0.1","Meta":{"kind":"k","label-disk":"ssd"}},"Service":{"Port":1,"Meta":{"free-cores":"NaN","started":"-5"}},"Checks":[{"Status":"warning"}]},
	  {"Node":{"Node":"b","Address":"127.0.0.1","Meta":{"kind":"k"}},"Service":{"Port":70000}},
	  {"Node":{"Node":"c","Address":"127.0.0.1"},"Service":{"Port":1}},
	  {"Node":{"Address":"127.0.0.1","Meta":{"kind":"k"}},"Service":{"Port":1}},
	  {"Node":{"Node":"d","Meta":{"kind":"k"}},"Service":{"Port":1}}]`))
	if err != nil || len(hosts) != 1 || len(skipped) != 4 {
		t.Fatalf("%+v, %q, %v", hosts, skipped, err)
	}
	if h := hosts[0]; h.FreeCores != 0 || h.Started != 0 || h.State != forkhead.Ready || h.Attributes["label.disk"] != "ssd" {
		t.Fatalf("%+v", h)
	}
	if _, _, err := consul.Decode([]byte(`{"a":`)); err == nil {
		t.Fatal("half an answer is read")
	}
}
