package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Parts sum to the total, each is its quota rounded down or up, and who weighs more gets no less.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 1_000_000).Draw(t, "total")
		parts := make([]Part, rapid.IntRange(1, 12).Draw(t, "parts"))
		sum := uint64(0)
		for i := range parts {
			parts[i] = Part{Name: fmt.Sprint(i), Weight: rapid.Uint64Range(0, 1000).Draw(t, "weight"), Most: -1, Before: rapid.Int64Range(0, 100).Draw(t, "before")}
			sum += parts[i].Weight
		}
		rest, err := Split(total, parts)
		if err != nil {
			t.Fatal(err)
		}
		got := int64(0)
		for i := range parts {
			p := &parts[i]
			got += p.Got
			if sum > 0 {
				quota := float64(total) * float64(p.Weight) / float64(sum)
				if float64(p.Got) < quota-1 || float64(p.Got) > quota+1 {
					t.Fatalf("%d of a quota of %g", p.Got, quota)
				}
			}
			for j := range parts {
				if q := &parts[j]; p.Weight > q.Weight && p.Got < q.Got {
					t.Fatalf("weight %d gets %d, weight %d %d", p.Weight, p.Got, q.Weight, q.Got)
				}
			}
		}
		if got+rest != total || sum > 0 && rest != 0 {
			t.Fatalf("%d dealt and %d left of %d", got, rest, total)
		}
	})
}

// Nobody gets past its most, and all is dealt as long as somebody can take it.
func TestMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 1000).Draw(t, "total")
		parts := make([]Part, rapid.IntRange(1, 8).Draw(t, "parts"))
		room := int64(0)
		for i := range parts {
			parts[i] = Part{Name: fmt.Sprint(i), Weight: rapid.Uint64Range(1, 9).Draw(t, "weight"), Most: rapid.Int64Range(0, 200).Draw(t, "most")}
			room += parts[i].Most
		}
		rest, err := Split(total, parts)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range parts {
			if p.Got > p.Most {
				t.Fatalf("%d, at most %d", p.Got, p.Most)
			}
		}
		if want := max(total-room, 0); rest != want {
			t.Fatalf("%d left, want %d", rest, want)
		}
	})
}

// A placer that comes or goes moves its own part and what rounding must, and no more: nobody else's
// part changes by more than the share of what came or went, rounded.
func TestLeastChange(t *testing.T) {
	tenants := []Tenant{{"courts", 500_000}, {"offices", 300_000}, {"rest", 100_000}}
	var placers []Part
	for i := range 30 {
		placers = append(placers, Part{Name: fmt.Sprintf("p%02d", i), Weight: 1})
	}
	a, err := Of(1_234_567, tenants, placers, nil)
	if err != nil {
		t.Fatal(err)
	}
	same, err := Of(1_234_567, tenants, placers, a)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Of(1_234_567, tenants, placers[:29], a)
	if err != nil {
		t.Fatal(err)
	}
	back, err := Of(1_234_567, tenants, placers, b)
	if err != nil {
		t.Fatal(err)
	}
	total := b.Free
	for i := range tenants {
		sumA, sumB := int64(0), int64(0)
		for c := range placers {
			if same.Parts[i][c] != a.Parts[i][c] {
				t.Fatal("nothing changed, and parts did")
			}
			if d := back.Parts[i][c] - a.Parts[i][c]; d > 1 || d < -1 {
				t.Fatalf("one came back, and %s has %d more at %s", tenants[i].Name, d, placers[c].Name)
			}
			sumA += a.Parts[i][c]
			if c < 29 {
				sumB += b.Parts[i][c]
				if more := b.Parts[i][c] - a.Parts[i][c]; more < 0 || more > a.Parts[i][29]/29+2 {
					t.Fatalf("%s at %s changed by %d when another placer left", tenants[i].Name, placers[c].Name, more)
				}
			}
		}
		if sumA != sumB {
			t.Fatalf("%s has %d in all, and then %d", tenants[i].Name, sumA, sumB)
		}
		total += sumB
	}
	if total != 1_234_567 {
		t.Fatalf("%d in all", total)
	}
}

func TestBad(t *testing.T) {
	if _, err := Split(-1, nil); err == nil {
		t.Error("a total below 0")
	}
	if _, err := Split(1, []Part{{Name: "a"}, {Name: "a"}}); err == nil {
		t.Error("a name twice")
	}
	if _, err := Of(1, []Tenant{{"a", 900_000}, {"b", 200_000}}, nil, nil); err == nil {
		t.Error("shares over the whole")
	}
}
