package commander

import (
	"fmt"
	"net/http"
	"net/url"

	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

type domainOptions struct {
	clientOptions
	Author string `long:"author" env:"USER" description:"who makes the change"`
	Dry    bool   `long:"dry" description:"check the change without making it"`
	JSON   bool   `long:"json" description:"print the answer in JSON"`
	Args   struct {
		Domain string `positional-arg-name:"DOMAIN" description:"name of the failure domain"`
	} `positional-args:"yes" required:"yes"`
}

// setDomain takes a failure domain out of service or returns it to service.
func (c *Commander) setDomain(options domainOptions, outOfService bool) error {
	ctx, cancel := options.withTimeout()
	defer cancel()
	path := "/domains/" + url.PathEscape(options.Args.Domain)
	if options.Dry {
		path += "?dry=true"
	}
	var result encoder.DomainResult
	proposal := encoder.DomainProposal{Author: options.Author, Out: &outOfService}
	if err := options.call(ctx, http.MethodPut, options.Address, path, proposal, &result); err != nil {
		return err
	}
	if options.JSON {
		return printJSON(c.Out, result)
	}
	state := "in service"
	if result.Out {
		state = "out of service"
	}
	switch {
	case result.DryRun:
		_, _ = fmt.Fprintf(c.Out, "%s would be %s; nothing was changed\n", result.Domain, state)
	case result.AwaitsStore:
		_, _ = fmt.Fprintf(c.Out, "%s is %s by an override, which is written once the store answers again\n", result.Domain, state)
	default:
		_, _ = fmt.Fprintf(c.Out, "%s is %s\n", result.Domain, state)
	}
	return nil
}
