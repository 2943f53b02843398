package bbtfleet

// Value is one value of the configuration service with the service's revision
// of it.
type Value struct {
	revision Revision
	data     []byte
}

// NewValue returns a value. It keeps data, which must not change afterwards.
func NewValue(r Revision, data []byte) Value { return Value{revision: r, data: data} }

// Revision returns the service's revision of the value.
func (v Value) Revision() Revision { return v.revision }

// Data returns the value's bytes, which must not be changed.
func (v Value) Data() []byte { return v.data }
