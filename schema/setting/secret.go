package setting

// Secret is a token or key. Printing, logging and encoding it show only whether it is
// set. A closure holds the text, so that no printer reaches it by reflection. The zero
// value is not set.
type Secret struct {
	text func() string
}

// NewSecret returns a secret with a text; an empty text gives the zero value.
func NewSecret(s string) Secret {
	if s == "" {
		return Secret{}
	}
	return Secret{text: func() string { return s }}
}

// Reveal returns the text.
func (s Secret) Reveal() string {
	if s.text == nil {
		return ""
	}
	return s.text()
}

// IsSet reports whether the secret has a text.
func (s Secret) IsSet() bool { return s.text != nil }

// String returns a mask.
func (s Secret) String() string {
	if s.text == nil {
		return "(not set)"
	}
	return "(set, masked)"
}

// GoString returns a mask.
func (s Secret) GoString() string { return s.String() }

// MarshalText returns a mask.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
