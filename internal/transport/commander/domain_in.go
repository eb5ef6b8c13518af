package commander

// domainInCommand returns a failure domain to service.
type domainInCommand struct {
	domainOptions

	commander *Commander
}

// Execute implements flags.Commander.
func (c *domainInCommand) Execute([]string) error {
	return c.commander.setDomain(c.domainOptions, false)
}
