package platform

import (
	"bytes"
	"testing"
)

// Fields and description are kept byte for byte, also where they are not valid Unicode. A line that is not a message is
// an error.
func TestDecodeKeepsPartsAndRejectsMalformedLines(t *testing.T) {
	line := `{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"batch","left":1500,"key":"\ud800"},"c":34,"d":"a\r\n\udc00` + "\xff" + `"}`
	m, err := Decode([]byte(line))
	if err != nil {
		t.Fatalf("Decode(%q): got error %v, want nil", line, err)
	}
	if text, _ := m.Text("left"); m.Type != TypeRequest || m.Ref != "9b1f03aa5c7e2d41" || m.Cause != 34 || text != "1500" {
		t.Errorf("Decode(%q) = %+v with left %q, want the type, ref, cause and left of the line", line, m, text)
	}
	if want := `"a\r\n\udc00` + "\xff" + `"`; string(m.Description) != want || string(m.Fields["key"]) != `"\ud800"` {
		t.Errorf("Decode(%q): got description %q and key %q, want %q and %q", line, m.Description, m.Fields["key"], want, `"\ud800"`)
	}
	out := Append(nil, m.Type, m.Ref, m.Cause, m.Description, Field{"class", m.Fields["class"]}, Field{"left", m.Fields["left"]}, Field{"key", m.Fields["key"]})
	if string(out) != line+"\n" {
		t.Errorf("Append of the decoded parts: got %q, want %q", out, line+"\n")
	}
	for _, bad := range []string{
		"", "{", "[1]", "null", `{"t":1,"ref":"9b1f03aa5c7e2d41"}`, `{"ref":"9b1f03aa5c7e2d41"}`, `{"t":"new"}`,
		`{"t":"new","ref":"9b1f03aa5c7e2d4"}`, `{"t":"new","ref":"9b1f03aa5c7e2d4g"}`, `{"t":"new","ref":"9b1f03aa5c7e2d41","f":[]}`,
		`{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"a":null}}`, `{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"a":{}}}`,
		`{"t":"down","ref":"9b1f03aa5c7e2d41","c":-1}`, `{"t":"down","ref":"9b1f03aa5c7e2d41","c":1.5}`,
		`{"t":"down","ref":"9b1f03aa5c7e2d41","c":"34"}`, `{"t":"new","ref":"9b1f03aa5c7e2d41","d":7}`, `{"T":"new","REF":"9b1f03aa5c7e2d41"}`,
		`{"t":"new","ref":"9b1f03aa5c7e2d41"} {}`,
	} {
		if m, err := Decode([]byte(bad)); err == nil {
			t.Errorf("Decode(%s) = %+v, want an error", bad, m)
		}
	}
}

// A decoded message that is encoded again has the same ref, cause and description.
func FuzzDecodeAppend(f *testing.F) {
	f.Add([]byte(`{"t":"up","ref":"9b1f03aa5c7e2d41","f":{"load":"x0:1"},"d":"x"}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		m, err := Decode(line)
		if err != nil || bytes.IndexByte(line, '\n') >= 0 {
			return
		}
		again, err := Decode(bytes.TrimSuffix(Append(nil, TypeRequest, m.Ref, m.Cause, m.Description), []byte("\n")))
		if err != nil || again.Ref != m.Ref || again.Cause != m.Cause || !bytes.Equal(again.Description, m.Description) {
			t.Fatalf("Decode after Append of %q: got %+v, error %v; want ref, cause and description of %+v", line, again, err, m)
		}
	})
}
