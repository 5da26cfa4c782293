package pages

import "slices"

// spareEmptyPages is the number of stored pages without live values that are kept, for later writes.
const spareEmptyPages = 4

// Retire returns the numbers of at most limit stored pages without live values, whose keys the caller is to delete,
// and the versions on which the deletions have to be conditional. It leaves spareEmptyPages such pages. Until
// ConfirmRetired is called, it returns the same pages again, and possibly more.
func (p *Pages) Retire(limit int) (numbers []int, versions []uint64) {
	empty := 0
	for _, page := range p.pages {
		if !page.isRetirable() {
			continue
		}
		empty++
		if empty > spareEmptyPages && len(p.retired) < limit {
			page.retired = true
			p.retired = append(p.retired, page)
		}
	}
	for _, page := range p.retired {
		numbers = append(numbers, page.number)
		versions = append(versions, page.version)
	}
	return numbers, versions
}

// isRetirable reports whether the page is stored, has no live value, and has no write that may be applied late.
func (p *page) isRetirable() bool {
	return len(p.live) == 0 && p.version != 0 && !p.indeterminate && !p.createIndeterminate && !p.retired
}

// ConfirmRetired removes the pages last returned by Retire. The caller calls it once their keys are deleted.
func (p *Pages) ConfirmRetired() {
	p.pages = slices.DeleteFunc(p.pages, func(page *page) bool { return page.retired })
	p.retired = nil
}
