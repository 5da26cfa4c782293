package fleet

// maxPageBytes is the size limit of one plan page. The state service accepts larger values, but every write to a page
// sends the whole page.
const maxPageBytes = 6 << 10

// maxOps returns how many operations a transaction may hold at present.
func (f *Fleet) maxOps() int {
	if f.Limits == nil {
		return f.MaxTxnOps
	}
	return min(f.MaxTxnOps, f.Limits().MaxOps)
}

// valueLimit returns how many bytes a value that is composed of many entries may have at present. It leaves an eighth
// of the state service's limit unused.
func (f *Fleet) valueLimit() int {
	limit := f.Settings.Params.State.Limits().MaxValueBytes
	if f.Limits != nil {
		limit = min(limit, f.Limits().MaxValueBytes)
	}
	return limit * 7 / 8
}

// pageLimit returns how many bytes one plan page may have at present.
func (f *Fleet) pageLimit() int { return min(maxPageBytes, f.valueLimit()) }
