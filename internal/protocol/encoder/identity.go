package encoder

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

// FormatIdentity returns the text form of an identity.
func FormatIdentity(i wigeonspindle.Identity) string {
	return fmt.Sprintf("%s.%d.%s", i.Incarnation, i.Issued.UnixMilli(), i.Nonce)
}

// noncePattern matches the characters that hosts use in incarnations and nonces. None of them
// needs escaping in a header.
var noncePattern = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// ParseIdentity parses the text form of an identity. It accepts only the form that
// FormatIdentity writes, so that each identity has exactly one text form.
func ParseIdentity(text string) (wigeonspindle.Identity, error) {
	parts := strings.Split(text, ".")
	if len(text) > MaxNameBytes || len(parts) != 3 || !noncePattern.MatchString(parts[0]) || !noncePattern.MatchString(parts[2]) {
		return wigeonspindle.Identity{}, errors.New("must be an identity issued with an address answer")
	}
	issued, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || strconv.FormatInt(issued, 10) != parts[1] {
		return wigeonspindle.Identity{}, errors.New("must contain the issue time in milliseconds")
	}
	return wigeonspindle.Identity{
		Incarnation: wigeonspindle.Incarnation(parts[0]), Issued: time.UnixMilli(issued), Nonce: parts[2],
	}, nil
}
