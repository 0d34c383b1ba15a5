//go:build tools

// Package tools pins the code generators, so that the product's own module
// lists only what the product links.
package tools

import (
	_ "github.com/pkg/errors"
	_ "github.com/twitchtv/twirp/protoc-gen-twirp"
	_ "google.golang.org/protobuf/cmd/protoc-gen-go"
)
