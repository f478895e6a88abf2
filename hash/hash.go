// Package hash provides a mixing function for 64-bit hashes.
package hash

// Mix returns the finalizer of splitmix64 applied to x: every bit of x affects every bit of the result.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
