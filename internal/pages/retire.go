package pages

import "slices"

// spareEmptyPages is how many stored pages without live values are kept, to be written over next.
const spareEmptyPages = 4

// Retire picks stored pages without live values, beyond a few spare ones, whose keys are to be deleted: at most limit
// of them, with the versions on which the deletions are to be conditional. The same pages are returned again until
// ConfirmRetired is called.
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

// isRetirable reports whether the page is stored, holds no live value, and no write of it may be applied late.
func (p *page) isRetirable() bool {
	return len(p.live) == 0 && p.version != 0 && !p.indeterminate && !p.createIndeterminate && !p.retired
}

// ConfirmRetired records that the keys of the pages last returned by Retire were deleted.
func (p *Pages) ConfirmRetired() {
	p.pages = slices.DeleteFunc(p.pages, func(page *page) bool { return page.retired })
	p.retired = nil
}
