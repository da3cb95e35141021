package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/parts"
	"github.com/endivechute/endivechute/strict"
)

// Limits of the client's requests, replies and connections.
const (
	// ValueBytesMax is the largest value of an object, in bytes.
	ValueBytesMax = 1 << 20
	// objectReplyBytesMax limits a reply with one object, which holds the value
	// in base64 and a few more fields.
	objectReplyBytesMax = 2 * ValueBytesMax
	// listReplyBytesMax limits a reply with any number of objects.
	listReplyBytesMax = 256 << 20
	// rosterReplyBytesMax limits a reply with the platform's list of instances.
	rosterReplyBytesMax = 64 << 20
	// headBytesMax limits the head of a reply, and the interim replies before it.
	headBytesMax = 16 << 10
	// connectionsIdleMax is the number of idle connections kept to the platform.
	connectionsIdleMax = 4
	// dialTimeout limits the time to open a connection.
	dialTimeout = 2 * time.Second
	// watchGrace is how long a watch may outlast the wait that it asked for.
	watchGrace = 5 * time.Second
)

// Client is a Store that uses the platform's HTTP protocol. It never sends a
// write twice: of failed requests, net/http retries only GET requests and those
// of which no byte was sent.
type Client struct {
	base  string
	token string
	http  *http.Client
	// cached is the last list of instances, which the platform sends again only
	// after a change.
	cached atomic.Pointer[taggedRoster]
}

// taggedRoster is a list of instances with the platform's ETag for it.
type taggedRoster struct {
	tag    string
	roster Roster
}

var _ Store = (*Client)(nil)

// errNotModified means that the platform sent no body (status 304), because the
// ETag in the request is still valid.
var errNotModified = errors.New("not modified")

// NewClient makes a client of the platform at the address "host:port". The
// token authorises writes; it may be empty.
func NewClient(address, token string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    connectionsIdleMax,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headBytesMax,
	}
	return &Client{base: "http://" + address, token: token, http: &http.Client{Transport: strict.NewTransport(transport)}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// objectReply is the JSON form of one object. Its value is encoded in base64.
type objectReply struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted"`
	Value   []byte `json:"value"`
}

func (r objectReply) object() Object { return NewObject(r.Path, r.Version, r.Value, r.Deleted) }

// Get implements Store.
func (c *Client) Get(ctx context.Context, path string) (Object, error) {
	var reply objectReply
	if err := c.read(ctx, "/v1/objects/"+escapePath(path), objectReplyBytesMax, &reply); err != nil {
		return Object{}, errors.Wrapf(err, "read %s", path)
	}
	return reply.object(), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	query := url.Values{"prefix": {prefix}}
	return c.readObjects(ctx, "/v1/list?"+query.Encode())
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.readObjects(ctx, "/v1/watch?"+query.Encode())
}

func (c *Client) readObjects(ctx context.Context, target string) ([]Object, uint64, error) {
	var reply struct {
		Revision uint64        `json:"revision"`
		Objects  []objectReply `json:"objects"`
	}
	if err := c.read(ctx, target, listReplyBytesMax, &reply); err != nil {
		return nil, 0, errors.Wrapf(err, "read %s", target)
	}
	objects := make([]Object, 0, len(reply.Objects))
	for _, r := range reply.Objects {
		objects = append(objects, r.object())
	}
	return objects, reply.Revision, nil
}

// Roster implements Store.
func (c *Client) Roster(ctx context.Context) (Roster, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/instances", http.NoBody)
	if err != nil {
		return Roster{}, errors.Wrap(err, "make a request")
	}
	cached := c.cached.Load()
	if cached != nil && cached.tag != "" {
		request.Header.Set("If-None-Match", cached.tag)
	}
	header, body, err := c.do(request, rosterReplyBytesMax)
	if errors.Is(err, errNotModified) && cached != nil {
		return cached.roster, nil
	}
	if err != nil {
		return Roster{}, errors.Wrap(err, "read the list of instances")
	}
	fetched := taggedRoster{tag: header.Get("ETag")}
	if fetched.roster, err = decodeRoster(body); err != nil {
		return Roster{}, errors.Wrap(err, "read the list of instances")
	}
	c.cached.Store(&fetched)
	return fetched.roster, nil
}

// Put implements Store. Only the errors ErrConflict, ErrForbidden, ErrTooLarge and
// ErrUnreachable mean that nothing was written.
func (c *Client) Put(ctx context.Context, path string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > ValueBytesMax {
		return 0, errors.Wrapf(ErrTooLarge, "write %s: %d bytes are given, at most %d are allowed", path, len(value), ValueBytesMax)
	}
	version, err := c.write(ctx, http.MethodPut, path, value, ifVersion)
	return version, errors.Wrapf(err, "write %s", path)
}

// Delete implements Store. Its errors are those of Put.
func (c *Client) Delete(ctx context.Context, path string, ifVersion uint64) (uint64, error) {
	version, err := c.write(ctx, http.MethodDelete, path, nil, ifVersion)
	return version, errors.Wrapf(err, "delete %s", path)
}

func (c *Client) read(ctx context.Context, target string, bytesMax int64, reply any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make a request")
	}
	return c.doJSON(request, bytesMax, reply)
}

func (c *Client) write(ctx context.Context, method, path string, value []byte, ifVersion uint64) (uint64, error) {
	target := c.base + "/v1/objects/" + escapePath(path) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(value))
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "make a request"), ErrUnreachable)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	var reply struct {
		Version uint64 `json:"version"`
	}
	if err := c.doJSON(request, objectReplyBytesMax, &reply); err != nil {
		return 0, err
	}
	return reply.Version, nil
}

// decodeRoster decodes the list of instances row by row. Rows that can't be decoded, or
// whose target has an address without a valid port, are left out.
func decodeRoster(body []byte) (Roster, error) {
	members, err := parts.Members(body)
	if err != nil {
		return Roster{}, errors.Wrap(err, "decode the platform's reply")
	}
	var roster Roster
	if roster.Entries, err = decodeRows(members["entries"], func(e Entry) bool { return e.Instance != "" }); err != nil {
		return Roster{}, err
	}
	roster.Targets, err = decodeRows(members["targets"], func(t Target) bool { return t.Target != "" && hasValidPort(t.Address) })
	return roster, err
}

// decodeRows decodes the rows of a list that are valid.
func decodeRows[T any](list []byte, isValid func(T) bool) ([]T, error) {
	if list == nil {
		return nil, nil
	}
	raw, err := parts.Elements(list)
	if err != nil {
		return nil, errors.Wrap(err, "decode the platform's reply")
	}
	rows := make([]T, 0, len(raw))
	for _, element := range raw {
		var row T
		if json.Unmarshal(element, &row) == nil && isValid(row) {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func hasValidPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// doJSON sends a request and decodes the reply.
func (c *Client) doJSON(request *http.Request, bytesMax int64, reply any) error {
	_, body, err := c.do(request, bytesMax)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, reply), "decode the platform's reply")
}

// do sends a request and returns the headers and the body of the reply.
func (c *Client) do(request *http.Request, bytesMax int64) (http.Header, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, bytesMax))
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, bytesMax+1))
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the platform's reply")
	}
	if int64(len(body)) > bytesMax {
		return nil, nil, errors.Newf("the platform's reply is longer than %d bytes", bytesMax)
	}
	return response.Header, body, nil
}

// transportError marks err with ErrUnreachable if no connection was opened, so
// that no byte was sent.
func transportError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return errors.Mark(errors.Wrap(err, "reach the platform"), ErrUnreachable)
	}
	return errors.Wrap(err, "call the platform")
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return errNotModified
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusForbidden:
		return ErrForbidden
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return errors.Newf("the platform responded with status %d", status)
}

// escapePath escapes a path for a URL, but keeps its slashes.
func escapePath(path string) string {
	return (&url.URL{Path: path}).EscapedPath()
}
