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

// maxBodyBytes bounds an answer that a Client reads.
const maxBodyBytes = 16 << 20

// ErrIncomplete says that a stream ended without its final marker and without an error event.
var ErrIncomplete = errors.New("stream ended without [DONE]")

// Client is a caller that uses the standard library's HTTP client only.
type Client struct {
	Addr string
	Key  string
	HTTP *http.Client
}

// NewClient returns a caller with its own connections.
func NewClient(addr, key string) *Client {
	return &Client{Addr: addr, Key: key, HTTP: &http.Client{Transport: &http.Transport{}}}
}

// Answer is what a caller received.
type Answer struct {
	Status int
	Header http.Header
	Text   string // text of the answer, or the body of an error or plain answer
	Parts  int    // events of a stream
	Tokens int64  // from the usage
}

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

// ChatBody returns the JSON of a chat completion request.
func ChatBody(model, prompt string, stream bool) []byte {
	data, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err) // strings always encode
	}
	return data
}

// Messages returns the messages field that ChatBody makes, which the fake engines use as the prompt.
func Messages(prompt string) string {
	data, err := json.Marshal([]map[string]string{{"role": "user", "content": prompt}})
	if err != nil {
		panic(err) // strings always encode
	}
	return string(data)
}

// Chat sends a chat completion request and reads the whole answer.
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
	err = readWhole(resp.Body, &a)
	return a, err
}

// Do sends a request with the caller's key.
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

// Call sends a request to a plain service and reads the whole answer.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, header map[string]string) (Answer, error) {
	resp, err := c.Do(ctx, method, path, body, header)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return Answer{Status: resp.StatusCode, Header: resp.Header, Text: string(data)}, err
}

func readWhole(r io.Reader, a *Answer) error {
	data, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return err
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("answer %q: %w", data, err)
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

// ReadStream reads a streamed answer. It returns ErrIncomplete if the answer has neither a final marker nor an error event.
func ReadStream(r io.Reader) (Answer, error) {
	var a Answer
	err := readStream(r, &a)
	return a, err
}

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
			return fmt.Errorf("event %q: %w", data, err)
		}
		if c.Error != nil {
			return fmt.Errorf("error event: %s", c.Error.Code)
		}
		a.Parts++
		if len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
		if c.Usage != nil {
			a.Tokens = c.Usage.CompletionTokens
		}
	}
	return errors.Join(lines.Err(), ErrIncomplete)
}
