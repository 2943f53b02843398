package bbtdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bluebelltray/io/bbtcaller"
)

// pause is how long a refused caller waits before its next request.
const pause = 100 * time.Millisecond

// promptWords is the length of the demo's prompts in words.
const promptWords = 200

// caller sends one request after the other.
type caller struct {
	account account
	client  *bbtcaller.Client
	table   *Table
	ctx     context.Context
	number  int
}

// run sends requests until ctx ends.
func (c *caller) run() {
	for n := 0; c.ctx.Err() == nil; n++ {
		start := time.Now()
		err := c.send(n)
		if c.ctx.Err() != nil {
			return
		}
		c.table.count(c.account.tier, err, time.Since(start) <= c.account.deadline)
		if err != nil {
			c.wait()
		}
	}
}

// send sends one request and reads its whole answer.
func (c *caller) send(n int) error {
	prompt := fmt.Sprintf("%s caller %d request %d ", c.account.id, c.number, n)
	body, err := json.Marshal(bbtcaller.CompletionRequest{
		Model:     string(poolModel),
		Prompt:    prompt + strings.Repeat("word ", promptWords),
		MaxTokens: c.account.tokens,
		Stream:    true,
	})
	if err != nil {
		return err
	}
	resp, err := c.client.Send(c.ctx, bbtcaller.Call{
		Method:      http.MethodPost,
		Path:        "/v1/completions",
		ContentType: "application/json",
		Body:        body,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// wait pauses or ends early with ctx.
func (c *caller) wait() {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}
