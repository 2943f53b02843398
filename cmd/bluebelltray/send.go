package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbtcaller"
	"github.com/cockroachdb/errors"
)

// sendCmd sends one request as a caller.
type sendCmd struct {
	Address   []string      `required:"" placeholder:"IP:PORT" help:"Caller address of any host; more may be given."`
	Account   string        `required:"" help:"Client account."`
	Model     string        `xor:"kind" help:"Model to complete the prompt with."`
	MaxTokens int           `default:"64" help:"Most tokens of the completion."`
	Path      string        `xor:"kind" help:"Path of a plain service's call, as /services/POOL/..."`
	Key       string        `help:"Idempotency key of a call that may not be repeated."`
	Attempt   int           `default:"1" help:"Number of this attempt, from one; zero if attempts are not counted."`
	Timeout   time.Duration `default:"60s" help:"How long to wait for the whole answer."`
	Body      string        `arg:"" help:"Prompt, or body of the plain service's call."`
}

// Run sends the request and prints the response as it arrives. If the host
// requires a ticket, Run sends the request again with the ticket from its answer.
// A ticket names the process that alone may execute a non-idempotent request.
func (c *sendCmd) Run() error {
	call, err := c.call()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	client := bbtcaller.New(bbtfleet.AccountID(c.Account), c.Address...)
	resp, err := client.Send(ctx, call)
	if e := bbtverdict.FromError(err, ""); err != nil && e.Reason() == bbtverdict.ReasonTicketRequired {
		call.Ticket = e.Ticket()
		resp, err = client.Send(ctx, call)
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonResponseIncomplete, bbtverdict.WithCause(err))
	}
	return nil
}

// call returns the call that the flags describe.
func (c *sendCmd) call() (bbtcaller.Call, error) {
	call := bbtcaller.Call{Method: http.MethodPost, Key: c.Key, Attempt: c.Attempt}
	switch {
	case c.Path != "":
		call.Path, call.ContentType, call.Body = c.Path, "text/plain", []byte(c.Body)
	case c.Model != "":
		body, err := json.Marshal(bbtcaller.CompletionRequest{Model: c.Model, Prompt: c.Body, MaxTokens: c.MaxTokens, Stream: true})
		if err != nil {
			return call, err
		}
		call.Path, call.ContentType, call.Body = "/v1/completions", "application/json", body
	default:
		return call, errors.New("either --model or --path is required")
	}
	return call, nil
}
