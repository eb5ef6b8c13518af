package commander

// rulesPutCommand puts rules in force.
type rulesPutCommand struct {
	proposalOptions
	Dry    bool         `long:"dry" description:"check the change without making it"`
	Reason string       `long:"reason" description:"why the change is made, for the history"`
	Args   fileArgument `positional-args:"yes" required:"yes"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *rulesPutCommand) Execute([]string) error {
	return c.commander.proposeRules(c.proposalOptions, c.Args.File, c.Reason, c.Dry)
}
