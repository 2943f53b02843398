package bbtdaemon

import (
	"bluebelltray"
	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/io/bbthttp"
)

// ForwardedCall is the message that forwards a call to the host that executes
// it. The codec requires exported fields.
type ForwardedCall struct {
	Request      bbtexec.ForwardRequest `cbor:"1,keyasint"`
	Pool         bbtfleet.PoolID        `cbor:"2,keyasint"`
	Method       string                 `cbor:"3,keyasint"`
	Path         string                 `cbor:"4,keyasint"`
	ContentType  string                 `cbor:"5,keyasint,omitempty"`
	Body         []byte                 `cbor:"6,keyasint,omitempty"`
	PromptLength int                    `cbor:"7,keyasint,omitempty"` // tokens
	MaxOutput    int                    `cbor:"8,keyasint,omitempty"` // tokens
	Prefix       uint64                 `cbor:"9,keyasint,omitempty"`
	PrefixLength int                    `cbor:"10,keyasint,omitempty"` // tokens
}

// newForward returns the message that forwards req with the executor message m.
func newForward(m bbtexec.ForwardRequest, req bluebelltray.Request) ForwardedCall {
	return ForwardedCall{
		Request:      m,
		Pool:         req.Pool(),
		Method:       req.Method(),
		Path:         req.Path(),
		ContentType:  req.ContentType(),
		Body:         req.Body(),
		PromptLength: req.PromptTokens(),
		MaxOutput:    req.MaxOutputTokens(),
		Prefix:       req.Prefix(),
		PrefixLength: req.PrefixTokens(),
	}
}

// request returns the forwarded request.
func (f ForwardedCall) request() *bbthttp.Request {
	return bbthttp.NewRequest(f.Request.Account, f.Pool, f.Method, f.Path,
		bbthttp.WithContent(f.ContentType, f.Body),
		bbthttp.WithTokens(f.PromptLength, f.MaxOutput),
		bbthttp.WithPrefix(f.Prefix, f.PrefixLength))
}
