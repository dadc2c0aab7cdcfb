package main

type configCmd struct {
	Status *configStatusCmd `arg:"subcommand:status" help:"show which configuration is in force where, and which hosts lag behind"`
	Check  *configCheckCmd  `arg:"subcommand:check" help:"check a settings file, or a configuration of queues before it is sent"`
}
