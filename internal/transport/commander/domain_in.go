package commander

// domainInCommand brings a failure domain back into service.
type domainInCommand struct {
	domainOptions

	commander *Commander
}

// Execute runs the command.
func (c *domainInCommand) Execute([]string) error {
	return c.commander.setDomain(c.domainOptions, false)
}
