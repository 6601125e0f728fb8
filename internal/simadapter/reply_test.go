package simadapter

import (
	"bytes"
	"testing"
)

const replyHex = "4e000000 01 14000000 03000000 c4913a5d 074a1203 0000000000005440" +
	"05 14000000 03000000 4d00000000000000 000000002068c140" +
	"09 17000000 05000000 1100 74776f2073657276657273206b6e6f776e"

func TestReplyWriteToEncodesActions(t *testing.T) {
	var r Reply
	r.Reset()
	r.Offer(3, 0x5d3a91c4, 0x03124a07, 80)
	r.SetTimer(3, 77, 8912.25)
	r.Log(5, "two servers known")
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	if want := unhex(t, replyHex); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("WriteTo of an offer, a timer and a log line\ngot  %x\nwant %x", out.Bytes(), want)
	}
	r.Reset()
	r.Gossip(3, AllPlacers, []byte("hi 7"))
	out.Reset()
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, "13000000 08 0e000000 03000000 ffffffff 0400 68692037")
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("WriteTo of a gossip message, after Reset\ngot  %x\nwant %x", out.Bytes(), want)
	}
}

func TestReplyWriteToWithoutActionsWritesEmptyFrame(t *testing.T) {
	var out bytes.Buffer
	if _, err := new(Reply).WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, 4)) {
		t.Errorf("WriteTo of an empty reply = %x, error %v; want 00000000, nil", out.Bytes(), err)
	}
}
