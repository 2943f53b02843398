package bbtcaller

// CompletionRequest is the JSON body of a call to a model engine, in the format of
// OpenAI's completions API.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}
