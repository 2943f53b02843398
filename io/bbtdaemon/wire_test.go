package bbtdaemon

import (
	"reflect"
	"testing"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtlimit"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtview"
)

// setNonZero sets every field of v that the codec encodes to a nonzero value.
func setNonZero(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("cbor") != "-" {
				setNonZero(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setNonZero(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		setNonZero(v.Index(0))
		setNonZero(v.Index(1))
	case reflect.Array:
		for i := range v.Len() {
			setNonZero(v.Index(i))
		}
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(9)
	}
}

func TestMessagesRoundTripThroughCodec(t *testing.T) {
	codec, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	for _, msg := range []any{
		bbtgrant.Registration{}, bbtgrant.Withdrawal{}, bbtgrant.Return{}, bbtgrant.DispatchEnded{}, bbtgrant.Permit{},
		bbtgrant.Shed{}, bbtview.Digest{}, bbtview.Query{}, bbtview.Reply{}, bbtmember.Ping{}, bbtmember.Ack{},
		bbtmember.IndirectPing{}, bbtmember.IndirectAck{}, ForwardedCall{}, bbtexec.ForwardReply{}, bbtexec.ForwardCancel{},
		bbtexec.IssueRequest{}, bbtexec.IssueReply{}, bbtlimit.Message{}, bbtsuspect.Claim{}, bbtsuspect.ClaimResponse{},
		bbtsuspect.Release{}, bbtsuspect.Notice{},
	} {
		t.Run(reflect.TypeOf(msg).String(), func(t *testing.T) {
			v := reflect.New(reflect.TypeOf(msg)).Elem()
			setNonZero(v)
			for _, want := range []any{msg, v.Interface()} {
				data, err := codec.Encode(want)
				if err != nil {
					t.Fatal(err)
				}
				got, err := codec.Decode(data)
				if err != nil {
					t.Fatal(err)
				}
				if !reflect.DeepEqual(got, want) {
					t.Errorf("got %+v, want %+v", got, want)
				}
			}
		})
	}
}
