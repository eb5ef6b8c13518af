package commander

// inventoryPutCommand puts an inventory in force.
type inventoryPutCommand struct {
	proposalOptions
	Dry    bool         `long:"dry" description:"check the change without making it"`
	Reason string       `long:"reason" description:"why the change is made, for the history"`
	Args   fileArgument `positional-args:"yes" required:"yes"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *inventoryPutCommand) Execute([]string) error {
	return c.commander.proposeInventory(c.proposalOptions, c.Args.File, c.Reason, c.Dry)
}
