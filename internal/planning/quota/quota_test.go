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
		parts := make([]Allocation, rapid.IntRange(1, 12).Draw(t, "parts"))
		sum := uint64(0)
		for i := range parts {
			parts[i] = Allocation{Name: fmt.Sprint(i), Weight: rapid.Uint64Range(0, 1000).Draw(t, "weight"), Max: -1, Previous: rapid.Int64Range(0, 100).Draw(t, "before")}
			sum += parts[i].Weight
		}
		rest, err := Apportion(total, parts)
		if err != nil {
			t.Fatal(err)
		}
		got := int64(0)
		for i := range parts {
			p := &parts[i]
			got += p.Amount
			if sum > 0 {
				quota := float64(total) * float64(p.Weight) / float64(sum)
				if float64(p.Amount) < quota-1 || float64(p.Amount) > quota+1 {
					t.Fatalf("%d of a quota of %g", p.Amount, quota)
				}
			}
			for j := range parts {
				if q := &parts[j]; p.Weight > q.Weight && p.Amount < q.Amount {
					t.Fatalf("weight %d gets %d, weight %d %d", p.Weight, p.Amount, q.Weight, q.Amount)
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
		parts := make([]Allocation, rapid.IntRange(1, 8).Draw(t, "parts"))
		room := int64(0)
		for i := range parts {
			parts[i] = Allocation{Name: fmt.Sprint(i), Weight: rapid.Uint64Range(1, 9).Draw(t, "weight"), Max: rapid.Int64Range(0, 200).Draw(t, "most")}
			room += parts[i].Max
		}
		rest, err := Apportion(total, parts)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range parts {
			if p.Amount > p.Max {
				t.Fatalf("%d, at most %d", p.Amount, p.Max)
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
	var placers []Allocation
	for i := range 30 {
		placers = append(placers, Allocation{Name: fmt.Sprintf("p%02d", i), Weight: 1})
	}
	a, err := NewTable(1_234_567, tenants, placers, nil)
	if err != nil {
		t.Fatal(err)
	}
	same, err := NewTable(1_234_567, tenants, placers, a)
	if err != nil {
		t.Fatal(err)
	}
	b, err := NewTable(1_234_567, tenants, placers[:29], a)
	if err != nil {
		t.Fatal(err)
	}
	back, err := NewTable(1_234_567, tenants, placers, b)
	if err != nil {
		t.Fatal(err)
	}
	total := b.Unassigned
	for i := range tenants {
		sumA, sumB := int64(0), int64(0)
		for c := range placers {
			if same.Amounts[i][c] != a.Amounts[i][c] {
				t.Fatal("nothing changed, and parts did")
			}
			if d := back.Amounts[i][c] - a.Amounts[i][c]; d > 1 || d < -1 {
				t.Fatalf("one came back, and %s has %d more at %s", tenants[i].Name, d, placers[c].Name)
			}
			sumA += a.Amounts[i][c]
			if c < 29 {
				sumB += b.Amounts[i][c]
				if more := b.Amounts[i][c] - a.Amounts[i][c]; more < 0 || more > a.Amounts[i][29]/29+2 {
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
	if _, err := Apportion(-1, nil); err == nil {
		t.Error("a total below 0")
	}
	if _, err := Apportion(1, []Allocation{{Name: "a"}, {Name: "a"}}); err == nil {
		t.Error("a name twice")
	}
	if _, err := NewTable(1, []Tenant{{"a", 900_000}, {"b", 200_000}}, nil, nil); err == nil {
		t.Error("shares over the whole")
	}
}
