package qfresponse

import (
	"fmt"
	"net/http"
	"strings"
)

// CheckNames returns an error if the name of a header field holds a blank. net/http accepts those, but nothing else that HTTP
// doesn't allow in a name. A length or an encoding with such a name isn't recognised, so that the end of the body isn't known.
func CheckNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("the response has a field whose name holds a blank: %q", name)
		}
	}
	return nil
}
