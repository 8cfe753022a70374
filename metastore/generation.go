package metastore

// A store that comes back from an older copy gives versions out again. Its clients therefore
// put its generation, the number of times it went back, above the version: any version of a
// later generation is greater than all earlier ones.

// generationShift is the number of bits of a version below the generation.
const generationShift = 40

// Generation returns the generation in which a row was read or written at version.
func Generation(version uint64) uint64 { return version >> generationShift }

// Sequence returns the version without its generation, as the store counts it.
func Sequence(version uint64) uint64 { return version & (1<<generationShift - 1) }

// VersionOf returns the version with the given generation and sequence.
func VersionOf(generation, sequence uint64) uint64 { return generation<<generationShift | sequence }
