package commander

// rulesDiffCommand checks rules on a host and prints the differences from those in
// force.
type rulesDiffCommand struct {
	proposalOptions
	Args fileArgument `positional-args:"yes" required:"yes"`

	commander *Commander
}

// Execute runs the command.
func (c *rulesDiffCommand) Execute([]string) error {
	return c.commander.proposeRules(c.proposalOptions, c.Args.File, "", true)
}
