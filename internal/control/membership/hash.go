package membership

// hashName returns the FNV-1a hash of a name, finalized by mixBits. All processes must compute the same hash.
func hashName(name string) uint64 {
	const (
		offsetBasis = 14695981039346656037
		prime       = 1099511628211
	)
	hash := uint64(offsetBasis)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return mixBits(hash)
}

// hashCell returns a hash of a cell number. All processes must compute the same hash.
func hashCell(cell int) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return mixBits(uint64(cell) + goldenRatio)
}

// mixBits is the finalizer of SplitMix64: each bit of x affects every bit of the result.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
