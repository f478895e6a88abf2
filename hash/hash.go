// Package hash spreads the bits of hashes.
package hash

// Mix spreads the bits of x. It is the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
