package fleet

// maxPageBytes bounds the size of one plan page. Values may be larger, but all of a page is sent with each write to
// it.
const maxPageBytes = 6 << 10

// maxOps returns how many operations a transaction may hold now.
func (f *Fleet) maxOps() int {
	if f.Limits == nil {
		return f.TxnOps
	}
	return min(f.TxnOps, f.Limits().MaxOps)
}

// valueLimit returns how many bytes a value that is composed of many entries may have now. It leaves an eighth of
// what the state service accepts unused.
func (f *Fleet) valueLimit() int {
	limit := f.Settings.Params.State.Limits().MaxValueBytes
	if f.Limits != nil {
		limit = min(limit, f.Limits().MaxValueBytes)
	}
	return limit * 7 / 8
}

// pageLimit returns how many bytes one plan page may have now.
func (f *Fleet) pageLimit() int { return min(maxPageBytes, f.valueLimit()) }
