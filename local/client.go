package local

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxBodyBytes limits the size of a non-streamed response that a Client reads.
const maxBodyBytes = 16 << 20

// ErrIncomplete means that a stream ended without the final [DONE] event and without an error event.
var ErrIncomplete = errors.New("stream ended without [DONE]")

// Client is a caller of a daemon or an engine. It uses only the standard library's HTTP client. It is safe for concurrent
// use.
type Client struct {
	Addr string // host:port
	Key  string // API key, sent as the bearer token
	HTTP *http.Client
}

// NewClient returns a client with its own connection pool. addr is a host and a port, key an API key.
func NewClient(addr, key string) *Client {
	return &Client{Addr: addr, Key: key, HTTP: &http.Client{Transport: &http.Transport{}}}
}

// Answer is a response as a caller received it.
type Answer struct {
	Status int
	Header http.Header
	Text   string // generated text, or the body of an error or of a plain service's response
	Events int    // number of events of a stream, without errors and [DONE]
	Tokens int64  // completion tokens from the usage field
}

// chunk has the fields that are read from an event of a stream and from a complete chat completion.
type chunk struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

// ChatBody returns the JSON body of a chat completion request with one user message.
func ChatBody(model, prompt string, stream bool) []byte {
	data, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err) // strings always encode
	}
	return data
}

// MessagesJSON returns the JSON of the messages field that ChatBody generates. The stand-in engines use it as the prompt.
func MessagesJSON(prompt string) string {
	data, err := json.Marshal([]map[string]string{{"role": "user", "content": prompt}})
	if err != nil {
		panic(err) // strings always encode
	}
	return string(data)
}

// Chat sends a chat completion request and reads the response to its end, streamed or not. A response with an error
// status is not an error. With an error, the Answer holds what was received until then.
func (c *Client) Chat(ctx context.Context, body []byte, header map[string]string) (Answer, error) {
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", body, header)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = readStream(resp.Body, &a)
		return a, err
	}
	err = readCompletion(resp.Body, &a)
	return a, err
}

// Do sends a request with the client's API key. Values of header override the default headers. The caller closes the
// body.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return c.HTTP.Do(req)
}

// Call sends a request and returns the whole response body as the Answer's Text, unparsed.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, header map[string]string) (Answer, error) {
	resp, err := c.Do(ctx, method, path, body, header)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return Answer{Status: resp.StatusCode, Header: resp.Header, Text: string(data)}, err
}

// readCompletion reads a non-streamed chat completion or a JSON error into a.
func readCompletion(r io.Reader, a *Answer) error {
	data, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return err
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode response %q: %w", data, err)
	}
	a.Text = string(data)
	if len(c.Choices) > 0 {
		a.Text = c.Choices[0].Message.Content
	}
	if c.Usage != nil {
		a.Tokens = c.Usage.CompletionTokens
	}
	return nil
}

// ReadStream reads a streamed answer to its end. An error event is returned as an error. The error is ErrIncomplete if
// the stream ends with neither [DONE] nor an error event.
func ReadStream(r io.Reader) (Answer, error) {
	var a Answer
	err := readStream(r, &a)
	return a, err
}

// readStream is ReadStream into an Answer that has its status and header already.
func readStream(r io.Reader, a *Answer) error {
	lines := bufio.NewScanner(r)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return fmt.Errorf("decode stream event %q: %w", data, err)
		}
		if c.Error != nil {
			return fmt.Errorf("stream ended with error event: %s", c.Error.Code)
		}
		a.Events++
		if len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
		if c.Usage != nil {
			a.Tokens = c.Usage.CompletionTokens
		}
	}
	return errors.Join(lines.Err(), ErrIncomplete)
}
