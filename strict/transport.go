package strict

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Transport is an http.RoundTripper that rejects malformed answers which http.Transport
// accepts.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport whose answers come from base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper. The error of a malformed answer is marked
// ErrMalformed; the request may have run.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Client wraps it
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkResponse checks what http.Transport doesn't. It keeps a name with a space as it is,
// so that a Content-Length, for one, isn't found.
func checkResponse(response *http.Response) error {
	if response.StatusCode < 100 || response.StatusCode > 599 {
		return errors.Wrapf(ErrMalformed, "the status %03d is not from 100 to 599", response.StatusCode)
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "the field name %.*q is invalid", excerptBytes, name)
		}
	}
	return nil
}

// CloseIdleConnections is for http.Client.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
