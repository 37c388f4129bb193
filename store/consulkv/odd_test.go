package consulkv

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOddRowDoesNotHideOthers guards against following the machine list no longer because of one row of
// another writer, and against taking that row for a process.
func TestOddRowDoesNotHideOthers(t *testing.T) {
	const good = `{"ServiceID":"n-1","ServiceAddress":"10.0.0.1","ServicePort":7,"ServiceMeta":{"zone":"z"}}`
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, odd := range map[string]string{
		"nested deeply":     `{"ServiceAddress":"10.0.0.9","ServicePort":7,"ServiceMeta":` + nested + `}`,
		"another type":      "7",
		"port as a text":    `{"ServiceAddress":"10.0.0.9","ServicePort":"7"}`,
		"port above 65535":  `{"ServiceAddress":"10.0.0.9","ServicePort":65536}`,
		"port too large":    `{"ServiceAddress":"10.0.0.9","ServicePort":1e999}`,
		"negative port":     `{"ServiceAddress":"10.0.0.9","ServicePort":-7}`,
		"no port":           `{"ServiceAddress":"10.0.0.9"}`,
		"no address":        `{"ServicePort":7}`,
		"address of a name": `{"ServiceAddress":"nowhere","ServicePort":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "["+odd+","+good+","+odd+"]")
			}))
			defer server.Close()
			client := NewClient(Config{BaseURL: server.URL})
			defer client.Close()
			machines, err := client.List(t.Context())
			is.NoErr(err)
			is.Equal(len(machines), 1)
			is.Equal(machines[0].Control, "10.0.0.1:7")
		})
	}
}
