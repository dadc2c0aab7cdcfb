package main

type jobCmd struct {
	Submit *jobSubmitCmd `arg:"subcommand:submit" help:"hand in a job"`
	Show   *jobShowCmd   `arg:"subcommand:show" help:"show where a job stands and why"`
	Cancel *jobCancelCmd `arg:"subcommand:cancel" help:"withdraw jobs"`
	Answer *jobAnswerCmd `arg:"subcommand:answer" help:"fetch the whole answer of a job"`
	List   *jobListCmd   `arg:"subcommand:list" help:"list jobs of all failure domains"`
}
