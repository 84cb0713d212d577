package command

import (
	"net/http"
	"testing"

	"banyanlug.example/banyanlug/internal/standin/responder"
)

// Guards against a result that an operator is shown from a response which isn't one of the protocol.
func TestInvalidResponsesToOperatorsCommandsAreErrors(t *testing.T) {
	t.Parallel()
	tr, err := (&remoteSettings{}).transport()
	if err != nil {
		t.Fatal(err)
	}
	responder.CheckRefused(t, &http.Client{Transport: tr})
}
