package dispatch

// hashFactor is the golden ratio as a fraction of 64 bits. Multiplying by it spreads consecutive IDs.
const hashFactor = 0x9e3779b97f4a7c15

// mixHash spreads a number over 64 bits: the finaliser of SplitMix64 (Steele, Lea and Flood, 2014).
func mixHash(x uint64) uint64 {
	x += hashFactor
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
