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

// refusalBackoff is how long a caller waits after an error before its next request.
const refusalBackoff = 100 * time.Millisecond

// promptWords is the number of words of padding in each prompt.
const promptWords = 200

// caller sends requests one at a time.
type caller struct {
	account account
	client  *bbtcaller.Client
	table   *Table
	ctx     context.Context
	index   int
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
			c.backOff()
		}
	}
}

// send sends one request and reads the complete response.
func (c *caller) send(n int) error {
	prompt := fmt.Sprintf("%s caller %d request %d ", c.account.id, c.index, n)
	body, err := json.Marshal(bbtcaller.CompletionRequest{
		Model:     string(poolModel),
		Prompt:    prompt + strings.Repeat("word ", promptWords),
		MaxTokens: c.account.maxTokens,
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

// backOff waits for refusalBackoff or until ctx ends.
func (c *caller) backOff() {
	t := time.NewTimer(refusalBackoff)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}
