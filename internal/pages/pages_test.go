package pages

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// kept is a plain store of pages, and what a reader makes of it: of each value the one written last.
type kept struct {
	rev  uint64
	keys map[int]struct {
		raw     []byte
		version uint64
	}
}

// land carries a transaction out, all of it or nothing.
func (k *kept) land(puts []PageWrite) bool {
	for _, write := range puts {
		if k.keys[write.Number].version != write.Version {
			return false
		}
	}
	k.rev++
	for _, write := range puts {
		k.keys[write.Number] = struct {
			raw     []byte
			version uint64
		}{write.Value, k.rev}
	}
	return true
}

func (k *kept) read(t *rapid.T) (map[string]string, []StoredPage) {
	got, last := map[string]string{}, map[string]uint64{}
	var all []StoredPage
	for no, it := range k.keys {
		s, err := Decode("p/@/", Key("p/@/", no), it.raw, it.version)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
		for name, raw := range s.Values {
			if s.Version > last[name] {
				last[name], got[name] = s.Version, string(raw)
			} else if s.Version == last[name] {
				t.Fatalf("%s stands in two pages of one write", name)
			}
		}
	}
	return got, all
}

func ref(name string) (r Ref) {
	_, _ = fmt.Sscanf(name, "v%d", &r.A)
	return r
}

// Against a map: values that change, end and are written, with writes that fail, land late after they were given up,
// or whose answer is lost, and with owners that read everything anew. What a reader finds is the value last
// known to be written, or one of those in doubt; and once writes go through again, exactly the last.
func TestPagesKeepTheLastValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := 100 + 20*rapid.IntRange(0, 20).Draw(t, "limit")
		k := &kept{keys: map[int]struct {
			raw     []byte
			version uint64
		}{}}
		p := New(limit)
		durable, maybe := map[string]string{}, map[string]map[string]bool{}
		ended, there := map[string]bool{}, map[string]bool{}
		var late [][]PageWrite
		n := 0
		write := func(names []string, fate int) {
			b := p.Begin(100)
			vals := map[string]string{}
			for _, name := range names {
				if ended[name] {
					continue
				}
				n++
				raw := fmt.Sprintf(`{"n":%d,"pad":"%0*d"}`, n, int(ref(name).A)%40+1, 7)
				if !b.Add(Entry{ref(name), name, []byte(raw)}, 6, 2000) {
					break
				}
				vals[name] = raw
			}
			puts := b.Writes()
			if len(puts) > 6 {
				t.Fatalf("%d pages in a batch", len(puts))
			}
			landed := fate != 1 && k.land(puts) // 1: lost, or late
			if fate == 1 && len(puts) > 0 {
				late = append(late, puts)
			}
			if fate == 0 && landed {
				for _, write := range puts {
					p.Commit(write, k.rev)
				}
				for name, raw := range vals {
					durable[name] = raw
					delete(maybe, name)
				}
				return
			}
			// The outcome is open or a conflict: each page is read again.
			for _, write := range puts {
				switch it := k.keys[write.Number]; {
				case it.version == write.Version:
					p.MarkIndeterminate(write)
				case string(it.raw) == string(write.Value):
					p.Commit(write, it.version)
				default:
					s, err := Decode("p/@/", Key("p/@/", write.Number), it.raw, it.version)
					if err != nil {
						t.Fatal(err)
					}
					var entries []Entry
					for name, raw := range s.Values {
						entries = append(entries, Entry{ref(name), name, raw})
					}
					p.Reload(write, it.version, entries)
				}
			}
			for name, raw := range vals {
				if landed {
					durable[name] = raw
					delete(maybe, name)
					continue
				}
				if maybe[name] == nil {
					maybe[name] = map[string]bool{}
				}
				maybe[name][raw] = true
			}
		}
		check := func() {
			got, _ := k.read(t)
			for name := range there {
				if got[name] == "" && !ended[name] {
					t.Fatalf("%s was there and is gone", name)
				}
			}
			for name := range got {
				there[name] = true
			}
			for name, want := range durable {
				if !ended[name] && got[name] != want && !maybe[name][got[name]] {
					t.Fatalf("%s is %s, last written %s", name, got[name], want)
				}
			}
		}
		names := func() (ns []string) {
			for _, a := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 12, rapid.ID).Draw(t, "names") {
				ns = append(ns, fmt.Sprintf("v%02d", a))
			}
			return ns
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			default:
				write(names(), 0)
			case 4, 5:
				write(names(), rapid.IntRange(1, 2).Draw(t, "fate"))
			case 6: // a lost one lands after all
				if len(late) > 0 {
					i := rapid.IntRange(0, len(late)-1).Draw(t, "late")
					k.land(late[i])
				}
			case 7:
				for _, name := range names() {
					if !p.HasIndeterminate() { // as its callers do
						ended[name] = true
						p.Drop(ref(name))
					}
				}
			case 8:
				if nos, versions := p.Retire(3); len(nos) > 0 {
					for i, no := range nos {
						if k.keys[no].version != versions[i] {
							t.Fatalf("page %d to be dropped has changed", no)
						}
						delete(k.keys, no)
					}
					p.ConfirmRetired()
				}
			case 9: // another owner: what was under way fails on its lead from now on
				late = nil
				got, all := k.read(t)
				p = New(limit)
				last := map[string]uint64{}
				for _, s := range all {
					for name := range s.Values {
						last[name] = max(last[name], s.Version)
					}
				}
				for _, s := range all {
					var live []Entry
					for name, raw := range s.Values {
						if last[name] == s.Version && !ended[name] {
							live = append(live, Entry{ref(name), name, raw})
						}
					}
					p.Load(s.Number, s.Version, live)
				}
				for name, raw := range got {
					durable[name] = raw
				}
				clear(maybe)
			}
			check()
		}
		for p.HasIndeterminate() {
			write(nil, 0)
		}
		for _, x := range late { // whatever is still under way fails by now, or is dead
			k.land(x)
		}
		var all []string
		for name := range maybe {
			all = append(all, name)
		}
		for len(all) > 0 {
			write(all[:min(4, len(all))], 0)
			all = all[min(4, len(all)):]
		}
		check()
	})
}

// Many small values that change one at a time share few pages, and each batch is one or two changes.
func TestFewWrites(t *testing.T) {
	p, rev, writes := New(6<<10), uint64(0), 0
	for round := range 200 {
		b := p.Begin(100)
		for i := range 20 {
			r := Ref{A: int32((round*37 + i*11) % 1000)}
			if !b.Add(Entry{r, fmt.Sprintf("req-%06d/000", r.A), []byte(`{"term":3,"done":"AA==","on":["i-000123"],"runs":[1,0]}`)}, 20, 60<<10) {
				t.Fatal("no room")
			}
		}
		rev++
		for _, write := range b.Writes() {
			writes++
			p.Commit(write, rev)
			if len(write.Value) > 7<<10 {
				t.Fatalf("a page of %d bytes", len(write.Value))
			}
		}
	}
	n, values := len(p.pages), len(p.pageOf)
	t.Logf("4,000 values in %d writes, %d live in %d pages", writes, values, n)
	if writes > 300 || n > 40 {
		t.Fatalf("%d writes, %d pages", writes, n)
	}
}

// A write that makes a page is given up; the page is written again and empties. Its key stays: if it were dropped
// the first write would land and bring back what has long changed.
func TestAnEarlyPageIsNotDropped(t *testing.T) {
	p := New(60)
	var first PageWrite
	for i := range int32(8) {
		b := p.Begin(100)
		b.Add(Entry{Ref{A: i}, fmt.Sprintf("v%d", i), []byte(`"a long value that fills a page"`)}, 1, 1000)
		write := b.Writes()[0]
		if i == 0 {
			first = write
			p.MarkIndeterminate(write)
			b = p.Begin(100)
			b.Add(Entry{Ref{A: i}, "v0", []byte(`"a long value that fills a page"`)}, 1, 1000)
			write = b.Writes()[0]
		}
		p.Commit(write, uint64(i)+1)
	}
	for i := range int32(8) {
		p.Drop(Ref{A: i})
	}
	nos, _ := p.Retire(8)
	if len(nos) != 8-spareEmptyPages-1 || slices.Contains(nos, first.Number) {
		t.Fatalf("pages %v are dropped, page %d may come anew", nos, first.Number)
	}
}

// The limit of a page shrinks while writes without an outcome name pages that hold more: the next batch names them all, and
// what is beyond the limit moves to other pages with it. Where that doesn't fit, the batch says so.
func TestLimitShrinksWhileInDoubt(t *testing.T) {
	fill := func() (*Pages, []PageWrite) {
		p := New(2000)
		b := p.Begin(8)
		for i := range 30 {
			entry := Entry{Ref: Ref{A: int32(i)}, Name: fmt.Sprintf("job-%02d", i), Value: []byte(`"` + strings.Repeat("x", 90) + `"`)}
			if !b.Add(entry, 8, 60<<10) {
				t.Fatal("no room")
			}
		}
		puts := b.Writes()
		for i, write := range puts {
			p.Commit(write, uint64(i+1))
		}
		return p, puts
	}
	p, _ := fill()
	b := p.Begin(8)
	_ = b.Add(Entry{Ref: Ref{A: 0}, Name: "job-00", Value: []byte(`"y"`)}, 8, 60<<10)
	for _, write := range b.Writes() {
		p.MarkIndeterminate(write)
	}
	p.SetLimit(700)
	b = p.Begin(8)
	if !b.Fits(8) {
		t.Fatal("what fits in eight pages doesn't")
	}
	seen := map[string]bool{}
	doubtful := 0
	for _, write := range b.Writes() {
		if len(write.Value) > 700 {
			t.Errorf("page %d takes %d bytes", write.Number, len(write.Value))
		}
		if write.page.indeterminate {
			doubtful++
		}
		for _, entry := range write.entries {
			if seen[entry.Name] {
				t.Errorf("%s is on two pages of one batch", entry.Name)
			}
			seen[entry.Name] = true
		}
		p.Commit(write, 50)
	}
	if doubtful == 0 || p.HasIndeterminate() {
		t.Errorf("%d pages of the batch were in doubt; in doubt still: %v", doubtful, p.HasIndeterminate())
	}
	for i := range 30 {
		if p.pageOf[Ref{A: int32(i)}] == nil {
			t.Errorf("value %d is lost", i)
		}
	}
	// As many pages in doubt as don't fit.
	p, _ = fill()
	b = p.Begin(8)
	for i := range 30 {
		b.Add(Entry{Ref: Ref{A: int32(i)}, Name: fmt.Sprintf("job-%02d", i), Value: []byte(`"` + strings.Repeat("y", 90) + `"`)}, 8, 60<<10)
	}
	for _, write := range b.Writes() {
		p.MarkIndeterminate(write)
	}
	p.SetLimit(300)
	if p.Begin(3).Fits(3) {
		t.Error("a batch of more than three pages fits in three")
	}
}
