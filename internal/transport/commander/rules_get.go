package commander

import "wigeonspindle.example/wigeonspindle/internal/protocol/encoder"

// rulesGetCommand prints the rules in force in the format that rules put accepts.
type rulesGetCommand struct {
	clientOptions

	commander *Commander
}

// Execute implements flags.Commander.
func (c *rulesGetCommand) Execute([]string) error {
	ctx, cancel := c.withTimeout()
	defer cancel()
	var document encoder.RulesDocument
	if err := c.get(ctx, "/rules", &document); err != nil {
		return err
	}
	return printJSON(c.commander.Out, document)
}
