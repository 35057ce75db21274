package suspect

// Request names what of a request may crash servers.
type Request struct {
	Fingerprint uint64   // of its whole content
	Segments    []uint64 // ids of the prompt segments that other requests may share
}
