package main

type configCmd struct {
	Check *configCheckCmd `arg:"subcommand:check" help:"check a settings file without starting anything"`
}
