package driftdocument

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// FuzzDocument checks that any body under any key is either parsed or refused
// as not valid or not found, and that every parsed document converts to rows.
func FuzzDocument(f *testing.F) {
	seeds := map[string][]string{
		KeyDomains:                {`{"domains":[{"name":"Recife","region":"home"}]}`, `{"domains":[]}`},
		KeyClasses:                {`{"classes":[{"name":"a","service":"s","fast":"40ms","whole":1}]}`, `{"classes":[{"fast":"1e9h"}]}`},
		KeyMarks:                  {`{"domains":["Recife"],"vms":["vm-1"]}`, `{}`, `null`},
		KeyUpstreamsPrefix + "s":  {`{"upstreams":[{"name":"u","domain":"d","address":"127.0.0.1:1","slots":1,"connections":1,"opening":"6ms"}]}`},
		KeyVersionsPrefix + "s":   {`{"versions":[{"number":1,"shards":[{"name":"a","depots":["x"],"upstreams":["u"]}]}]}`},
		"weights":                 {`{}`},
		KeyVersionsPrefix + "s/t": {`{"versions":[{"number":-1}]}`},
	}
	for key, bodies := range seeds {
		for _, body := range bodies {
			f.Add(key, []byte(body))
		}
	}
	f.Fuzz(func(t *testing.T, key string, body []byte) {
		doc, err := Parse(key, body)
		if err != nil {
			require.True(t, errors.Is(err, errors.NotValid) || errors.Is(err, errors.NotFound), err)
			return
		}
		switch d := doc.(type) {
		case Domains:
			require.Len(t, d.Rows(), len(d.Domains))
		case Classes:
			require.Len(t, d.Rows(), len(d.Classes))
		case Upstreams:
			require.Len(t, d.Rows(), len(d.Upstreams))
		case Versions:
			require.Len(t, d.Row().Versions, len(d.Versions))
		case Marks:
		}
	})
}
