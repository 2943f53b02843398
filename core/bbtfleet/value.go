package bbtfleet

// Value is a value of the platform's configuration service with the revision that
// the service assigned to it.
type Value struct {
	revision Revision
	data     []byte
}

// NewValue returns a value that shares the slice data, which must not be
// modified afterwards.
func NewValue(r Revision, data []byte) Value { return Value{revision: r, data: data} }

// Revision returns the revision that the configuration service assigned to the
// value.
func (v Value) Revision() Revision { return v.revision }

// Data returns the value's bytes. The slice must not be modified.
func (v Value) Data() []byte { return v.data }
